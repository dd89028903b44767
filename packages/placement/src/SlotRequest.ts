import type { Deadline, RequestClass } from '@wisteriapath/model';

/** A request's ask for a slot on some target of its route. */
interface SlotRequest {
  readonly workspace: string;
  readonly weight: number;
  readonly requestClass: RequestClass;
  readonly cost: number;
  readonly deadline: Deadline;
  /** Whether a target must not be chosen for now, because it failed the request before. */
  readonly isExcluded: (target: string) => boolean;
  /** A hint, for prefix affinity. */
  readonly findPreferred: (targets: readonly string[]) => string | undefined;
}

export default SlotRequest;
