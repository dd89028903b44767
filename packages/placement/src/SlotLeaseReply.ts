import type { ErrorKind } from '@wisteriapath/model';

/** A placer's answer. */
interface SlotLeaseReply {
  readonly isPlacer: boolean;
  readonly grants: readonly {
    readonly target: string;
    readonly url: string;
    readonly slots: number;
  }[];
  /** Why there are no grants and none can be expected; `null` otherwise. */
  readonly refusal: ErrorKind | null;
  /** Expected time until a replica is ready; 0 if one is. */
  readonly expectedReadyMs: number;
  /**
   * Whether other failure domains may be asked for what was not granted: not while a replica is being
   * loaded or warming up here, which would load another one.
   */
  readonly mayOverflow: boolean;
}

export default SlotLeaseReply;
