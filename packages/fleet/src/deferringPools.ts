import { deferrableLatencyTargetMs } from '@wisteriapath/scheduling';
import type DesiredState from './DesiredState';
import type PathRoute from './PathRoute';

/** The priority of the most urgent route of each pool that is deferring. */
type DeferringPools = ReadonlyMap<string, number>;

/** The pools of each version, worked out once: it is asked for with each request and each planning pass. */
const known = new WeakMap<DesiredState, DeferringPools>();

const mostUrgentPriority = (routes: readonly PathRoute[]): number =>
  Math.min(...routes.map(({ priority }) => priority));

const findDeferringPools = ({ routes, pools }: DesiredState): DeferringPools => {
  const deferring = new Map<string, number>();
  pools.forEach(({ engine }, name) => {
    if (engine === null) return;
    const ofPool = routes.filter((route) => route.pools.some((pool) => pool.name === name));
    const priority = mostUrgentPriority(ofPool);
    const isDeferrable = (route: PathRoute) =>
      route.latencyTargetMs >= deferrableLatencyTargetMs && route.priority > priority;
    if (ofPool.some(isDeferrable)) deferring.set(name, priority);
  });
  return deferring;
};

/**
 * Returns the pools of engines that serve a route whose requests can wait beside a more urgent one, each with the priority of its most urgent
 * route. Only in these pools work waits in the order of `compareWaiting`.
 *
 * @example
 * deferringPools(state).has('guides');
 */
const deferringPools = (state: DesiredState): DeferringPools => {
  const pools = known.get(state) ?? findDeferringPools(state);
  known.set(state, pools);
  return pools;
};

export default deferringPools;
