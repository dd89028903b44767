import type ModelMemory from './ModelMemory';
import type Observation from './Observation';
import type ScalingLimits from './ScalingLimits';
import type StandingOrder from './StandingOrder';

/** What a decision about one service in one failure domain is made from. */
interface ScalingView {
  readonly nowMs: number;
  readonly limits: ScalingLimits;
  /** Time since the list of engines was known to be complete. */
  readonly viewAgeMs: number;
  readonly isStoreReachable: boolean;
  /** Fraction of the known instances whose demand is known. */
  readonly reportingFraction: number;
  /** Whether the operator has taken the failure domain out of service. */
  readonly isOutOfService: boolean;
  /** The observations of the window, oldest first. */
  readonly observations: readonly Observation[];
  /** The last order that the platform has or may have carried out; `undefined` if this holder has given none. */
  readonly ordered: StandingOrder | undefined;
  readonly memory: ModelMemory;
  /** Time in which a fresh engine, which has no copy, loads its first model from the weight store. */
  readonly firstLoadMs: number;
}

export default ScalingView;
