/** The results of one run of the load thread. */
interface LoadFigures {
  /** Measured requests answered with status 200. */
  readonly answered: number;
  /** Requests that failed, those of the warm-up included. */
  readonly failed: number;
  readonly firstByteMs: { readonly p50: number; readonly p95: number };
  /** Time between two chunks of a response. */
  readonly gapMs: { readonly p50: number; readonly p95: number };
}

export default LoadFigures;
