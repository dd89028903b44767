import type Asset from './Asset';
import type TargetAgent from './TargetAgent';

/** The loads and evictions that bring the assets of a route onto one engine. */
interface LoadPlan {
  readonly agent: TargetAgent;
  readonly loads: readonly Asset[];
  readonly evictions: readonly Asset[];
  /** Expected time until all assets are ready, in ms. */
  readonly expectedMs: number;
}

export default LoadPlan;
