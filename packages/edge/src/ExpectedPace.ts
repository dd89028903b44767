/** What is expected of a target that runs a model. */
interface ExpectedPace {
  /** Time that work takes now, as a multiple of what is usual for the model over all targets. */
  readonly slowness: number;
  /** The same in slow spans. */
  readonly peakSlowness: number;
  /** Whether this instance has measured the speed of the target, or has it from others or reports only. */
  readonly isMeasured: boolean;
  /** Time between two events in slow spans; undefined if no stream of the pool has been measured. */
  readonly slowGapMs: number | undefined;
  /** Time to the first event, or to the response, per unit of work; undefined if none has been measured. */
  readonly firstMsPerUnit: number | undefined;
}

export default ExpectedPace;
