import type TargetOutcome from './TargetOutcome';

/** The right to have one request in flight on a target. */
interface Slot {
  readonly target: string;
  readonly url: string;
  readonly failureDomain: string;
  /** Targets with free slots when this one was chosen, with the fraction of their slots in use. */
  readonly candidates: readonly { readonly target: string; readonly load: number }[];
  /** Releases the slot. Must be called once, when the exchange with the target is over. */
  release(outcome: TargetOutcome): void;
  /** Releases the slot unused, instead of `release`. */
  cancel(): void;
}

export default Slot;
