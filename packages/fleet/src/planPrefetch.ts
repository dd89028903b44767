import type DemandSnapshot from './DemandSnapshot';
import type EngineSpec from './EngineSpec';
import type ModelSpec from './ModelSpec';
import type TargetView from './TargetView';
import modelsWithoutCopy from './modelsWithoutCopy';

interface Input {
  readonly engine: EngineSpec;
  readonly demand: DemandSnapshot;
  readonly views: readonly TargetView[];
  /** Number of the engines that the placer controls, and of those of them that are changing. */
  readonly own: { readonly count: number; readonly busy: number };
  /** Loads from the weight store that may still start, at engines of any placer. */
  readonly storeSlots: number;
  readonly isLoading: (model: string) => boolean;
  /** Whether the placer is the one that loads a model of which all placers know. */
  readonly isResponsible: (model: string) => boolean;
}

/** Share of the engines that may load from the weight store ahead of demand while there is none. */
const IDLE_PREFETCH_SHARE = 0.5;
/** The same once there are requests: an engine cannot make any other change during a long load. */
const BUSY_PREFETCH_SHARE = 0.13;

/**
 * Returns a model of which no engine has a copy and that this placer should load ahead of demand, so that a later load is short;
 * undefined if there is none, or if too many engines are changing.
 *
 * @example
 * const spec = planPrefetch({ engine, demand, views, own, storeSlots, isLoading, isResponsible });
 */
const planPrefetch = ({
  engine,
  demand,
  views,
  own,
  storeSlots,
  isLoading,
  isResponsible,
}: Input): ModelSpec | undefined => {
  const share = demand.modelRates.size === 0 ? IDLE_PREFETCH_SHARE : BUSY_PREFETCH_SHARE;
  if (own.busy >= own.count * share) return undefined;
  const requested = new Set(demand.waiting.map(({ model }) => model));
  const missing = modelsWithoutCopy(engine, views).filter(
    ({ name }) => !requested.has(name) && !isLoading(name),
  );
  // Placers with the same knowledge share out the free slots alike.
  return missing.slice(0, storeSlots).find(({ name }) => isResponsible(name));
};

export default planPrefetch;
