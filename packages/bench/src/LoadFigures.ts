/** What the load thread saw in one run. */
interface LoadFigures {
  readonly answered: number;
  readonly failed: number;
  readonly firstByteMs: { readonly p50: number; readonly p95: number };
  /** Time between two chunks of one answer. */
  readonly gapMs: { readonly p50: number; readonly p95: number };
}

export default LoadFigures;
