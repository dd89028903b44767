import type PlannedLoad from './PlannedLoad';
import type PlanningPass from './PlanningPass';
import type ReplicaEngines from './ReplicaEngines';
import type TargetView from './TargetView';
import isWorthReplicating from './isWorthReplicating';
import planModel from './planModel';

/** Request rate from which a replica is worth it: the load costs less than the streams that are late. */
const MIN_RATE_PER_S = 0.3;
/** The same where the replica comes from the weight store, which takes seconds and delays the loads of other models. */
const MIN_STORE_RATE_PER_S = 1;
const MAX_HOLDERS = 2;

/**
 * Plans a replica of a model that is in use and whose holders all break the gap target, on an engine that keeps it: one that
 * has a copy, or else, for a model that is asked for often, one that loads it from the weight store while that is free. Answers a
 * load where streams of a busy model are late because its only engine is too slow, though others are free. All placers plan the
 * same one; returns `undefined` if there is none.
 *
 * @example
 * const plan = planGapReplica(pass, engines);
 */
const planGapReplica = (
  { engine, demand: { modelRates }, speeds, storeSlots }: PlanningPass,
  { holders, isLoading, context, freeElsewhere, hasStoreCapacity }: ReplicaEngines,
): PlannedLoad | undefined => {
  if (speeds === undefined) return undefined;
  const areTooSlow = (views: readonly TargetView[]): boolean =>
    views.length > 0 &&
    views.length <= MAX_HOLDERS &&
    views.every(({ entry }) => speeds.breaksGap(entry.id));
  const candidates = [...modelRates]
    .filter(([model, rate]) => rate >= MIN_RATE_PER_S && engine.models.has(model))
    .filter(([model]) => areTooSlow(holders(model)) && !isLoading(model))
    .sort(([, one], [, other]) => other - one);
  if (candidates.length === 0) return undefined;
  const known = context();
  const free = [...known.free, ...freeElsewhere()].filter(({ entry }) => speeds.keepsGap(entry.id));
  const mayUseStore = known.isStoreFree && storeSlots > 0 && hasStoreCapacity();
  for (const [model, rate] of candidates) {
    const spec = engine.models.get(model)!;
    const isStoreFree = mayUseStore && rate >= MIN_STORE_RATE_PER_S;
    const options = { ...known, free };
    const plan =
      planModel(spec, { ...options, isStoreFree: false }, 'slow_holders') ??
      (isStoreFree ? planModel(spec, { ...options, isStoreFree }, 'slow_holders') : undefined);
    if (plan !== undefined && isWorthReplicating(plan, rate, modelRates)) return plan;
  }
  return undefined;
};

export default planGapReplica;
