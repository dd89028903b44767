/** How many engines a service may have in a failure domain, and how long one takes to start. */
interface ScalingLimits {
  readonly min: number;
  readonly max: number;
  /** Time from the order of an engine until it can be given work. */
  readonly bootMs: number;
}

export default ScalingLimits;
