import type DemandSnapshot from './DemandSnapshot';
import type EngineRegistry from './EngineRegistry';
import type EngineSpec from './EngineSpec';
import type EngineSpeeds from './EngineSpeeds';
import EvictionOptions from './EvictionOptions';
import type TargetView from './TargetView';
import canLoadFromStore from './canLoadFromStore';
import findSpareReplicas from './findSpareReplicas';
import hasCopy from './hasCopy';
import hasCopySoon from './hasCopySoon';

interface Input {
  /** The engines that may be given new work, of all placers. */
  readonly views: readonly TargetView[];
  /** Those of them that this placer orders. */
  readonly own: readonly TargetView[];
  readonly engine: EngineSpec;
  readonly demand: DemandSnapshot;
  readonly isDeferring: boolean;
  readonly speeds: EngineSpeeds | undefined;
}

/** Rate of a model 3 s after its only request, see `ModelRates` of `packages/edge`: one that has been used since counts as in use. */
const IN_USE_RATE_PER_S = 0.12;
/** Cost of evicting a model that only requests that can wait use, relative to one that urgent requests use at the same rate. */
const DEFERRABLE_COST_SHARE = 0.2;

/** Returns the rate of urgent requests for each model. */
const urgentRates = ({
  modelRates,
  deferrableRates,
}: DemandSnapshot): ReadonlyMap<string, number> =>
  new Map(
    [...modelRates].map(([model, rate]) => [
      model,
      Math.max(0, rate - (deferrableRates.get(model) ?? 0)),
    ]),
  );

/** Returns rates in which requests that can wait count less, as a load delays them without making them late. */
const weightedRates = (
  demand: DemandSnapshot,
  urgent: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> =>
  new Map(
    [...demand.modelRates].map(([model, rate]) => {
      const urgentRate = urgent.get(model) ?? 0;
      return [model, urgentRate + (rate - urgentRate) * DEFERRABLE_COST_SHARE];
    }),
  );

/**
 * Creates the context in which loads of models are planned, from what a placer knows at one moment.
 *
 * @example
 * const context = createModelContext({ views, own, engine, demand, isDeferring, speeds }, registry, clock.nowMs());
 */
const createModelContext = (
  { views, own, engine, demand, isDeferring, speeds }: Input,
  registry: EngineRegistry,
  nowMs: number,
) => {
  const free = own.filter((view) => {
    const { isBusy, loadingAdapters, avoidUntilMs, executor } = registry.engineOf(view);
    const isIdle = !isBusy && loadingAdapters.size === 0;
    const isUsable = avoidUntilMs <= nowMs && !demand.unreachable.has(view.entry.id);
    return isIdle && isUsable && executor.isStateKnown;
  });
  const snapshot = { nowMs, engineOf: (id: string) => registry.get(id) };
  const engines = { all: views, own: own.length, free: free.length };
  const urgent = isDeferring ? urgentRates(demand) : new Map<string, number>();
  const requested = new Set(demand.waiting.map(({ model }) => model));
  const evictionContext = {
    engine,
    isSpare: findSpareReplicas(views, speeds),
    rates: isDeferring ? weightedRates(demand, urgent) : demand.modelRates,
    requested,
    running: (id: string, model: string) => demand.running.get(id)?.get(model) ?? 0,
    hasCopyElsewhere: (id: string, model: string) =>
      views.some(
        ({ entry, models }) => entry.id !== id && (models.has(model) || hasCopy(entry, model)),
      ),
    residentMs: (id: string, model: string) =>
      nowMs - (registry.get(id)?.loadedMs.get(model) ?? -Infinity),
  };
  const evictions = new EvictionOptions(evictionContext);
  const inUse = [...urgent].filter(([, rate]) => rate >= IN_USE_RATE_PER_S);
  const deferrableEvictions = isDeferring
    ? new EvictionOptions({
        ...evictionContext,
        requested: new Set([...requested, ...inUse.map(([model]) => model)]),
      })
    : evictions;
  return {
    free,
    evictions,
    /** What a load that can wait may evict: no model that urgent requests used in the last seconds. */
    deferrableEvictions,
    speeds,
    isStoreFree: canLoadFromStore(engines, demand.waiting, snapshot),
    hasCopySoon: (model: string) => hasCopySoon(views, engine.models.get(model), snapshot),
  };
};

export default createModelContext;
