import type TargetOutcome from './TargetOutcome';

/** The right to have one request in flight on a target. */
interface Slot {
  readonly target: string;
  readonly url: string;
  readonly failureDomain: string;
  /** Targets that were free at the choice, with the share of their slots in use. */
  readonly candidates: readonly { readonly target: string; readonly load: number }[];
  /** Gives the slot back. Call it once, when the exchange with the target is over. */
  release(outcome: TargetOutcome): void;
  /** Gives the slot back unused, in place of `release`. */
  cancel(): void;
}

export default Slot;
