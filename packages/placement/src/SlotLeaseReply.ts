import type { ErrorKind } from '@wisteriapath/model';

/** A placer's reply to a `SlotLeaseRequest`. */
interface SlotLeaseReply {
  /**
   * False if the instance that replies does not hold the placer role; nothing else applies then.
   */
  readonly isPlacer: boolean;
  /** Slots leased on each target, for one lease term. */
  readonly grants: readonly {
    readonly target: string;
    readonly url: string;
    readonly slots: number;
  }[];
  /** Why no slot can be granted now or later; `null` if slots were or may be granted. */
  readonly refusal: ErrorKind | null;
  /** Expected time until a replica is ready, in ms; 0 if one is ready or none is expected. */
  readonly expectedReadyMs: number;
  /**
   * Whether the slots that were not granted may be requested from other failure domains. False
   * while a replica is loading or warming up in this one, as a request elsewhere would load a
   * second replica.
   */
  readonly mayOverflow: boolean;
}

export default SlotLeaseReply;
