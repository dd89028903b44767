/** The entry that a target writes about itself to the platform's store. */
interface RegisteredTarget {
  readonly id: string;
  /** Start of the target by the wall clock; distinguishes two starts under the same id. */
  readonly bornMs: number;
  readonly pool: string;
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Number of requests that the target can run at once. */
  readonly slots: number;
  /** Whether the target is draining and takes no new requests. */
  readonly isLeaving: boolean;
  /**
   * Time after which a draining target is gone, whatever it runs, counted from when the entry was written. `undefined`
   * if the entry does not say, `null` if what it says is not usable.
   */
  readonly remainingMs?: number | null;
  /** Time that the target stays cold, counted from when the entry was written. */
  readonly coldLeftMs: number;
  /** Increases with each entry that the target writes. */
  readonly entryNumber: number;
  /** Loaded adapters by loaded model. */
  readonly models: ReadonlyMap<string, ReadonlySet<string>>;
  /** Models with a copy in the host memory of the engine. */
  readonly inMemory: ReadonlySet<string>;
  /** Models with a copy on the disk of the engine. */
  readonly onDisk: ReadonlySet<string>;
}

export default RegisteredTarget;
