import type ScalingReason from './ScalingReason';

/** The outcome of a decision. */
interface ScalingDecision {
  /** The number of engines to order; `undefined` if the number stays as it is. */
  readonly desired: number | undefined;
  readonly reason: ScalingReason;
}

export default ScalingDecision;
