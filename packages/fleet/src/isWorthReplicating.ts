import type PlannedLoad from './PlannedLoad';

/**
 * Returns whether a further replica evicts only models with less than half its request rate.
 *
 * @example
 * isWorthReplicating(plan, 12, demand.modelRates);
 */
const isWorthReplicating = (
  plan: PlannedLoad,
  rate: number,
  rates: ReadonlyMap<string, number>,
): boolean => plan.evictions.every(({ model }) => (rates.get(model) ?? 0) * 2 < rate);

export default isWorthReplicating;
