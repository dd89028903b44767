import type ModelSpec from './ModelSpec';
import type TargetView from './TargetView';
import loadTimeOn from './loadTimeOn';

/**
 * Returns the shortest time after which one of the engines can hold a model that none holds now, as far as their copies
 * and the loads under way tell; 0 if that may be at any moment, or if no engine is known.
 *
 * @example
 * timeUntilHeld(table.inService('guides'), spec, clock.nowMs()); // 6_000 if it must come from the weight store
 */
const timeUntilHeld = (views: readonly TargetView[], spec: ModelSpec, nowMs: number): number => {
  if (views.length === 0) return 0;
  const busyMs = ({ loading, busyUntilMs }: TargetView) =>
    loading === null ? 0 : Math.max(0, busyUntilMs - nowMs);
  const timesMs = views.map((view) =>
    view.loading === spec.name ? busyMs(view) : busyMs(view) + loadTimeOn(view, spec, nowMs).ms,
  );
  return Math.min(...timesMs);
};

export default timeUntilHeld;
