import type EngineSpec from './EngineSpec';
import type PlannedLoad from './PlannedLoad';
import type TargetView from './TargetView';

interface Context {
  readonly engine: EngineSpec;
  /** Engines that hold the model. */
  readonly holding: readonly TargetView[];
  /** Requests per second by `model` or `model/adapter`. */
  readonly ratesByAsset: ReadonlyMap<string, number>;
  /** Adapters that requests wait for, as `model/adapter`. */
  readonly requested: ReadonlySet<string>;
  /** Returns the number of requests that run with an adapter on an engine. */
  readonly running: (engine: string, model: string, adapter: string) => number;
  /** Returns the number of adapters that are being loaded on an engine. */
  readonly loadingCount: (engine: string) => number;
  readonly maxLoading: number;
}

const ADAPTER_LOAD_MS = 11;

const adapterCount = ({ models }: TargetView): number =>
  [...models.values()].reduce((total, adapters) => total + adapters.size, 0);

/** Returns the adapters on an engine that no request uses or waits for, ordered by request rate, lowest first. */
const idleAdapters = (view: TargetView, context: Context) =>
  [...view.models]
    .flatMap(([model, adapters]) => [...adapters].map((adapter) => ({ model, adapter })))
    .filter(({ model, adapter }) => !context.requested.has(`${model}/${adapter}`))
    .filter(({ model, adapter }) => context.running(view.entry.id, model, adapter) === 0)
    .map((candidate) => ({
      ...candidate,
      rate: context.ratesByAsset.get(`${candidate.model}/${candidate.adapter}`) ?? 0,
    }))
    .sort((one, other) => one.rate - other.rate);

/**
 * Plans where to load an adapter of a model that is loaded: on an engine with a free adapter slot, otherwise where
 * the adapter to evict has the lowest request rate. Returns `undefined` if no engine can take it.
 *
 * @example
 * const plan = planAdapter('llama', 'a3', context);
 */
const planAdapter = (model: string, adapter: string, context: Context): PlannedLoad | undefined => {
  const candidates = context.holding
    .filter(({ entry }) => context.loadingCount(entry.id) < context.maxLoading)
    .map((view) => {
      const count = adapterCount(view) + context.loadingCount(view.entry.id);
      const hasFreeSlot = count < context.engine.adapterSlots;
      const evicted = hasFreeSlot ? undefined : idleAdapters(view, context)[0];
      const isPossible = hasFreeSlot || evicted !== undefined;
      const cost = (evicted?.rate ?? -1) * 1_000 + count;
      return { view, evicted, isPossible, cost };
    })
    .filter(({ isPossible }) => isPossible)
    .sort((one, other) => one.cost - other.cost);
  const best = candidates[0];
  if (best === undefined) return undefined;
  const { view, evicted } = best;
  const evictions =
    evicted === undefined ? [] : [{ model: evicted.model, adapter: evicted.adapter }];
  const expectedMs = ADAPTER_LOAD_MS;
  return { view, model, adapter, evictions, expectedMs, fromStore: false, reason: 'waiting' };
};

export default planAdapter;
