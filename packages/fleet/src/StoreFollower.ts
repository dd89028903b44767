/** A running task that reads the platform's store. */
interface StoreFollower {
  /** Whether the store answered the last call. */
  readonly isReachable: boolean;
  /** Time after which a deletion that was read from the store is final; live targets may still register again. */
  readonly settlingMs: number;
  /** Time after a return of the store within which all live targets have registered again. */
  readonly recoveryMs: number;
  stop(): void;
}

export default StoreFollower;
