import type Asset from './Asset';
import type TargetAgent from './TargetAgent';

/** A way to get a route's assets onto one engine. */
interface LoadPlan {
  readonly agent: TargetAgent;
  readonly loads: readonly Asset[];
  readonly evictions: readonly Asset[];
  /** Expected time until all assets are ready. */
  readonly expectedMs: number;
}

export default LoadPlan;
