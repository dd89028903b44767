import type LoadTime from './LoadTime';
import type ModelSpec from './ModelSpec';
import type TargetView from './TargetView';
import loadTimeOn from './loadTimeOn';

/**
 * Returns the shortest time in which one of the engines loads a model, once it is free.
 *
 * @example
 * shortestLoad(views, spec, nowMs).ms; // 6_000 if no engine has a copy
 */
const shortestLoad = (views: readonly TargetView[], spec: ModelSpec, nowMs: number): LoadTime =>
  views
    .map((view) => loadTimeOn(view, spec, nowMs))
    .reduce((best, one) => (one.ms < best.ms ? one : best), {
      ms: spec.storeLoadMs,
      isFromStore: true,
    });

export default shortestLoad;
