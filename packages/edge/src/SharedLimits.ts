/** Limits that all instances keep together. */
interface SharedLimits {
  /** Repeats for each request, and beside them in each window. */
  readonly retryRatio: number;
  readonly retrySlack: number;
}

export default SharedLimits;
