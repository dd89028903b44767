/** A running task that reads the platform's store. */
interface StoreFollower {
  /** Time after which a deletion that was read from the store is final; live targets may still register again. */
  readonly settlingMs: number;
  stop(): void;
}

export default StoreFollower;
