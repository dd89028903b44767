import type PlannedLoad from './PlannedLoad';
import type PlanningPass from './PlanningPass';
import type ReplicaEngines from './ReplicaEngines';
import type TargetView from './TargetView';
import isWorthReplicating from './isWorthReplicating';
import planModel from './planModel';

/** Request rate from which a replica is worth it: the load costs less than the streams that are late. */
const MIN_RATE_PER_S = 0.3;
const MAX_HOLDERS = 2;

/**
 * Plans a replica of a model that is in use and whose holders all break the gap target, on an engine that keeps it and has a copy.
 * Answers a load where streams of a busy model are late because its only engine is too slow, though others are free. All placers plan
 * the same one; returns `undefined` if there is none.
 *
 * @example
 * const plan = planGapReplica(pass, engines);
 */
const planGapReplica = (
  { engine, demand: { modelRates }, speeds }: PlanningPass,
  { holders, isLoading, context, freeElsewhere }: ReplicaEngines,
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
  const plans = candidates.map(([model, rate]) => {
    const spec = engine.models.get(model)!;
    const plan = planModel(spec, { ...known, free, isStoreFree: false }, 'slow_holders');
    return plan && isWorthReplicating(plan, rate, modelRates) ? plan : undefined;
  });
  return plans.find((plan) => plan !== undefined);
};

export default planGapReplica;
