/** Limits that hold for all instances together. */
interface SharedLimits {
  /** Retries allowed: a ratio of the requests, plus a fixed number (`retrySlack`) in each window. */
  readonly retryRatio: number;
  readonly retrySlack: number;
  /** Requests allowed to a cold target in one second: a multiple of its rate, plus a fixed number (`coldSlack`). */
  readonly coldOverage: number;
  readonly coldSlack: number;
}

export default SharedLimits;
