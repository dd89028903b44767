/** What the placer of a failure domain told of one life of a target. */
interface SharedPace {
  readonly bornMs: number;
  /** Logarithms of the slowness at the usual work time and of the work time in slow spans, as multiples of what is usual. */
  readonly logSlowness: number;
  readonly logWorkTime: number;
  /** Requests at the target. */
  readonly load: number;
  readonly atMs: number;
  /** Weight between 0 and 1, drawn by this instance. */
  readonly weight: number;
}

export default SharedPace;
