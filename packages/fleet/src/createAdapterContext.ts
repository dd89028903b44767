import type DemandSnapshot from './DemandSnapshot';
import type EngineRegistry from './EngineRegistry';
import type EngineSpec from './EngineSpec';
import type TargetView from './TargetView';
import assetId from './assetId';

interface Input {
  readonly engine: EngineSpec;
  readonly demand: DemandSnapshot;
  /** The engines that hold the model and may be given an order. */
  readonly holding: readonly TargetView[];
}

const MAX_LOADING_ADAPTERS_PER_ENGINE = 4;

/**
 * Creates the context in which the load of an adapter is planned, from what a placer knows at one moment.
 *
 * @example
 * const plan = planAdapter('llama', 'a3', createAdapterContext({ engine, demand, holding }, registry));
 */
const createAdapterContext = (
  { engine, demand, holding }: Input,
  registry: Pick<EngineRegistry, 'get'>,
) => ({
  engine,
  holding,
  ratesByAsset: demand.assetRates,
  requested: new Set(demand.waiting.map((one) => assetId(one.model, one.adapter))),
  running: (id: string, model: string, adapter: string) =>
    demand.running.get(id)?.get(assetId(model, adapter)) ?? 0,
  loadingCount: (id: string) => registry.get(id)?.loadingAdapters.size ?? 0,
  maxLoading: MAX_LOADING_ADAPTERS_PER_ENGINE,
});

export default createAdapterContext;
