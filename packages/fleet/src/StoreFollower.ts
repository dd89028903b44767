import type TargetUpdate from './TargetUpdate';

/** A running task that follows changes in the platform's store. */
interface StoreFollower {
  /** Offset up to which the operator's records have been read. */
  readonly operatorOffset: number;
  /** Offset up to which the targets' records are known. */
  readonly targetsOffset: number;
  /** Reads the operator's records at once, because a peer has read further. */
  refresh(): void;
  /**
   * Accepts an update of the targets that a peer relays. Returns false if updates before it are
   * missing; these are then read from the store.
   */
  acceptRelayed(update: TargetUpdate): boolean;
  stop(): void;
}

export default StoreFollower;
