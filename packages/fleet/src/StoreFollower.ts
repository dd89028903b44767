import type TargetUpdate from './TargetUpdate';

/** A running reader of the platform's store. */
interface StoreFollower {
  /** Offset up to which what the operator wrote is known. */
  readonly operatorOffset: number;
  /** Reads what the operator wrote at once, because a peer knows more. */
  refresh(): void;
  /**
   * Notes what a peer passed on of the targets; false if something before it is missing, which is
   * then read.
   */
  acceptRelayed(news: TargetUpdate): boolean;
  stop(): void;
}

export default StoreFollower;
