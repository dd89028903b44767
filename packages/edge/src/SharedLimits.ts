/** Limits that all instances keep together. */
interface SharedLimits {
  /** Repeats for each request, and beside them in each window. */
  readonly retryRatio: number;
  readonly retrySlack: number;
  /** What a cold target may get in one second: a multiple of its rate, and requests beside that. */
  readonly coldOverage: number;
  readonly coldSlack: number;
}

export default SharedLimits;
