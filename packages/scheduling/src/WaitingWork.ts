/** Requests that wait for the same thing, as far as their order depends on it. */
interface WaitingWork {
  /** 0 is the highest. */
  readonly priority: number;
  readonly latencyTargetMs: number;
  /** Time that the oldest has waited. */
  readonly waitedMs: number;
  /**
   * Time until the caller no longer takes an answer; for a stream also until it abandons the stream before its first event.
   */
  readonly leftMs: number;
  /** Expected time for which the work occupies an engine. */
  readonly workMs: number;
  readonly workspace: string;
  /** Number of requests. */
  readonly count: number;
}

export default WaitingWork;
