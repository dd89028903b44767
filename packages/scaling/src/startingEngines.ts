import type ScalingView from './ScalingView';

/** Time, in starts, after which an engine that was ordered is no longer expected. */
const MAX_BOOTS = 3;

/**
 * Returns the number of engines that were ordered and have not registered yet.
 *
 * @example
 * startingEngines({ ...view, ordered: { count: 6, atMs: view.nowMs - 500 } }); // 2, if four are ready
 */
const startingEngines = ({ ordered, observations, limits, nowMs }: ScalingView): number => {
  if (ordered === undefined || nowMs - ordered.atMs > limits.bootMs * MAX_BOOTS) return 0;
  return Math.max(0, ordered.count - (observations.at(-1)?.ready ?? 0));
};

export default startingEngines;
