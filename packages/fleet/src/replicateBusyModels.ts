import type PlanningPass from './PlanningPass';
import type ReplicaEngines from './ReplicaEngines';
import isWorthReplicating from './isWorthReplicating';
import planGapReplica from './planGapReplica';
import planModel from './planModel';

/** Request rate from which a model gets a second replica. */
const SECOND_REPLICA_RATE_PER_S = 6;
const MAX_BUSY_MODEL_REPLICAS = 2;

/**
 * Loads a further replica of each busy model, and one of a model whose holders are too slow for the gap target of the pool. Busy
 * models only from copies.
 *
 * @example
 * replicateBusyModels(pass, engines);
 */
const replicateBusyModels = (pass: PlanningPass, engines: ReplicaEngines): void => {
  const { engine, demand } = pass;
  [...demand.modelRates]
    .filter(([model, rate]) => rate >= SECOND_REPLICA_RATE_PER_S && engine.models.has(model))
    .sort(([, one], [, other]) => other - one)
    .forEach(([model, rate]) => {
      const present = engines.holders(model);
      if (present.length >= MAX_BUSY_MODEL_REPLICAS || engines.isLoading(model)) return;
      const domains = new Set(present.map(({ entry }) => entry.failureDomain));
      const active = engines.activeDomains();
      const others = active.filter((domain) => !domains.has(domain));
      if (!engines.isResponsible(model, others.length > 0 ? others : active)) return;
      const spec = engine.models.get(model)!;
      const plan = planModel(spec, { ...engines.context(), isStoreFree: false }, 'busy');
      if (plan !== undefined && isWorthReplicating(plan, rate, demand.modelRates)) {
        engines.execute(plan);
      }
    });
  // Planning tries each such model on each engine, and passes follow each other within milliseconds.
  if (!pass.speeds?.takeReplicaTurn()) return;
  const plan = planGapReplica(pass, engines);
  if (plan === undefined) return;
  if (plan.fromStore) Object.assign(pass, { storeSlots: pass.storeSlots - 1 });
  if (engines.isOwn(plan.view)) engines.execute(plan);
};

export default replicateBusyModels;
