import type DemandSnapshot from './DemandSnapshot';
import type EngineRegistry from './EngineRegistry';
import type EngineSpec from './EngineSpec';
import type EngineSpeeds from './EngineSpeeds';
import EvictionOptions from './EvictionOptions';
import type TargetView from './TargetView';
import canLoadFromStore from './canLoadFromStore';
import hasCopy from './hasCopy';
import hasCopySoon from './hasCopySoon';

interface Input {
  /** The engines that may be given new work, of all placers. */
  readonly views: readonly TargetView[];
  /** Those of them that this placer orders. */
  readonly own: readonly TargetView[];
  readonly engine: EngineSpec;
  readonly demand: DemandSnapshot;
  readonly speeds: EngineSpeeds | undefined;
}

/**
 * Creates the context in which loads of models are planned, from what a placer knows at one moment.
 *
 * @example
 * const context = createModelContext({ views, own, engine, demand, speeds }, registry, clock.nowMs());
 */
const createModelContext = (
  { views, own, engine, demand, speeds }: Input,
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
  const replicaCounts = new Map<string, number>();
  views.forEach(({ models }) =>
    models.forEach((_, model) => replicaCounts.set(model, (replicaCounts.get(model) ?? 0) + 1)),
  );
  const evictions = new EvictionOptions({
    engine,
    replicaCounts,
    rates: demand.modelRates,
    requested: new Set(demand.waiting.map(({ model }) => model)),
    running: (id: string, model: string) => demand.running.get(id)?.get(model) ?? 0,
    hasCopyElsewhere: (id: string, model: string) =>
      views.some(
        ({ entry, models }) => entry.id !== id && (models.has(model) || hasCopy(entry, model)),
      ),
    residentMs: (id: string, model: string) =>
      nowMs - (registry.get(id)?.loadedMs.get(model) ?? -Infinity),
  });
  return {
    free,
    evictions,
    speeds,
    isStoreFree: canLoadFromStore(engines, demand.waiting, snapshot),
    hasCopySoon: (model: string) => hasCopySoon(views, engine.models.get(model), snapshot),
  };
};

export default createModelContext;
