import { sum } from '@wisteriapath/model';
import {
  compareWaiting,
  type RankedWork,
  slackMs,
  Urgency,
  urgencyOf,
} from '@wisteriapath/scheduling';
import type Demand from './Demand';
import type DemandSnapshot from './DemandSnapshot';
import type ModelSpec from './ModelSpec';
import type TargetView from './TargetView';
import type WaitingModel from './WaitingModel';
import hasOrder from './hasOrder';
import leastSlackMs from './leastSlackMs';
import loadWorth from './loadWorth';
import shortestLoad from './shortestLoad';

interface Context {
  readonly nowMs: number;
  /** The engines that may be given new work. */
  readonly views: readonly TargetView[];
  readonly models: ReadonlyMap<string, ModelSpec>;
  /** Returns for how long a model that no engine holds has been asked for. */
  readonly unservedMs: (model: string) => number;
  /** Whether an engine holds a model. */
  readonly isHeld: (model: string) => boolean;
  /** Whether models are ranked by `compareWaiting`, as the pool is deferring. */
  readonly isDeferring: boolean;
}

/** Time asked for in vain from which a model is urgent though none of its requests can be served any more. */
const UNSERVED_URGENT_MS = 8_000;
/**
 * Share of the time asked for in vain that counts as waiting for the aging of priorities. If all of it counted, single requests for rare
 * models would come before many for others under overload: with arrivals of twice and three times the measured rate, 609 and 1,576 urgent
 * requests were refused in place of 548 and 1,502 (docs/design/order-of-waiting-work.md).
 */
const UNSERVED_AGING_SHARE = 0.2;
/** Priority assumed of the requests of instances of an earlier build. */
const UNKNOWN_PRIORITY = 0;

/** Adds up the demand for a model and its adapters. */
const mergeByModel = (
  demands: readonly Demand[],
): Required<Omit<Demand, 'pool' | 'adapter' | 'priority' | 'slackMs'>> => ({
  model: demands[0].model,
  waiting: sum(demands.map(({ waiting }) => waiting)),
  waitedMs: Math.max(...demands.map(({ waitedMs }) => waitedMs)),
  latencyTargetMs: Math.min(...demands.map(({ latencyTargetMs }) => latencyTargetMs)),
  leftMs: Math.max(...demands.map(({ leftMs }) => leftMs ?? Infinity)),
});

/** Returns how urgent the most urgent requests for a model are. */
const orderOf = (demands: readonly Demand[], loadMs: number): WaitingModel['order'] => {
  const orders = demands.map((demand) => {
    if (hasOrder(demand)) return demand;
    const { waiting: count, leftMs = Infinity } = demand;
    const work = { ...demand, priority: UNKNOWN_PRIORITY, leftMs, count, workMs: loadMs };
    return { priority: UNKNOWN_PRIORITY, slackMs: slackMs(work, loadMs) };
  });
  return {
    priority: Math.min(...orders.map(({ priority }) => priority)),
    slackMs: leastSlackMs(orders.map((one) => one.slackMs)),
  };
};

/**
 * Returns what the order of a model depends on. One whose callers were all told to come back becomes urgent once it has been asked for in
 * vain for long, as callers that come back leave again before they have waited for long.
 */
const rankedWork = (
  { priority, slackMs: knownSlackMs }: NonNullable<WaitingModel['order']>,
  { waitedMs, unservedMs }: { readonly waitedMs: number; readonly unservedMs: number },
  worth: number,
): RankedWork => ({
  priority,
  slackMs: knownSlackMs >= 0 ? knownSlackMs : Math.max(0, UNSERVED_URGENT_MS - unservedMs),
  waitedMs: Math.max(waitedMs, unservedMs * UNSERVED_AGING_SHARE),
  valuePerMs: worth,
});

/**
 * Returns the models that requests wait for and no engine holds, that whose load is worth most first; in a deferring pool in the order
 * of `compareWaiting`. Placers with the same knowledge rank alike.
 *
 * @example
 * rankWaitingModels(demand, { nowMs, views, models: engine.models, unservedMs, isHeld, isDeferring });
 */
const rankWaitingModels = (
  { waiting, modelRates }: DemandSnapshot,
  { nowMs, views, models, unservedMs, isHeld, isDeferring }: Context,
): readonly WaitingModel[] => {
  const byModel = new Map<string, Demand[]>();
  waiting.forEach((demand) => {
    if (!models.has(demand.model)) return;
    byModel.set(demand.model, [...(byModel.get(demand.model) ?? []), demand]);
  });
  const absent = [...byModel].filter(([model]) => !isHeld(model));
  const ranked = absent.map(([model, demands]) => {
    const merged = mergeByModel(demands);
    const load = shortestLoad(views, models.get(model)!, nowMs);
    const ratePerS = modelRates.get(model) ?? 0;
    const unserved = unservedMs(model);
    const worth = loadWorth({ ...merged, unservedMs: unserved, ratePerS, loadMs: load.ms });
    const { waitedMs, latencyTargetMs, leftMs } = merged;
    const order = isDeferring ? orderOf(demands, load.ms) : null;
    const work = order && rankedWork(order, { waitedMs, unservedMs: unserved }, worth);
    const canWait = work !== null && urgencyOf(work.slackMs) !== Urgency.Urgent;
    const { isFromStore } = load;
    const needs = { waitedMs, latencyTargetMs, leftMs };
    return { model, ...needs, worth, isFromStore, order, canWait, work };
  });
  ranked.sort(
    (one, other) =>
      (one.work && other.work && compareWaiting(one.work, other.work)) ||
      other.worth - one.worth ||
      (one.model < other.model ? -1 : 1),
  );
  return ranked.map(({ work, ...waitingModel }) => waitingModel);
};

export default rankWaitingModels;
