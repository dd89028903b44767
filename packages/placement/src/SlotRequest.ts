import type { Deadline, RequestClass } from '@wisteriapath/model';

/** A request for a slot on any target of a route. */
interface SlotRequest {
  readonly workspace: string;
  readonly weight: number;
  readonly requestClass: RequestClass;
  readonly cost: number;
  readonly deadline: Deadline;
  /** Whether a target must not be chosen, for example because it failed the request before. */
  readonly isExcluded: (target: string) => boolean;
  /** Returns the target with the best prefix affinity, if any. It is used if it has a free slot. */
  readonly findPreferred: (targets: readonly string[]) => string | undefined;
}

export default SlotRequest;
