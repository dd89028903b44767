import { sum } from '@wisteriapath/model';
import type Demand from './Demand';
import type DemandSnapshot from './DemandSnapshot';
import type ModelSpec from './ModelSpec';
import type TargetView from './TargetView';
import type WaitingModel from './WaitingModel';
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
}

/** Adds up the demand for a model and its adapters. */
const mergeByModel = (demands: readonly Demand[]): Required<Omit<Demand, 'pool' | 'adapter'>> => ({
  model: demands[0].model,
  waiting: sum(demands.map(({ waiting }) => waiting)),
  waitedMs: Math.max(...demands.map(({ waitedMs }) => waitedMs)),
  latencyTargetMs: Math.min(...demands.map(({ latencyTargetMs }) => latencyTargetMs)),
  leftMs: Math.max(...demands.map(({ leftMs }) => leftMs ?? Infinity)),
});

/**
 * Returns the models that requests wait for and no engine holds, that whose load is worth most first. Placers with the same knowledge rank
 * alike.
 *
 * @example
 * rankWaitingModels(demand, { nowMs, views, models: engine.models, unservedMs, isHeld });
 */
const rankWaitingModels = (
  { waiting, modelRates }: DemandSnapshot,
  { nowMs, views, models, unservedMs, isHeld }: Context,
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
    const worth = loadWorth({
      ...merged,
      unservedMs: unservedMs(model),
      ratePerS,
      loadMs: load.ms,
    });
    const { waitedMs } = merged;
    return { model, waitedMs, worth, isFromStore: load.isFromStore };
  });
  return ranked.sort((one, other) => other.worth - one.worth || (one.model < other.model ? -1 : 1));
};

export default rankWaitingModels;
