import { sum } from '@wisteriapath/model';
import type EngineSpec from './EngineSpec';
import type Eviction from './Eviction';
import type TargetView from './TargetView';

interface Context {
  readonly engine: EngineSpec;
  /** Whether a replica on another engine can take the place of a model on `engine`. */
  readonly isSpare: (engine: string, model: string) => boolean;
  /** Requests per second by model. */
  readonly rates: ReadonlyMap<string, number>;
  /** Models that requests wait for, and others that must stay. */
  readonly requested: ReadonlySet<string>;
  /** Returns the number of requests that run with a model on an engine. */
  readonly running: (engine: string, model: string) => number;
  /** Whether an engine other than `engine` has loaded a model or has a copy of it. */
  readonly hasCopyElsewhere: (engine: string, model: string) => boolean;
  /** Returns the time since a model was loaded on an engine. */
  readonly residentMs: (engine: string, model: string) => number;
}

/** Time for which a model counts as in use after its load, until instances report running requests for it. */
const RUNNING_REPORT_DELAY_MS = 700;
/** Request rate assumed for every model, in addition to the reported one. */
const BASE_RATE_PER_S = 0.1;
/** Cost of evicting one of several replicas, as a share of the cost of evicting the only one. */
const SPARE_REPLICA_COST_SHARE = 0.15;

/** Returns the memory for models, after reserving space for as many adapters as an engine may hold. */
const modelCapacityMb = ({ weightsMb, adapterSlots, models }: EngineSpec): number => {
  const largestMb = Math.max(0, ...[...models.values()].map(({ adapterSizeMb }) => adapterSizeMb));
  return weightsMb - adapterSlots * largestMb;
};

/** What may be evicted from each engine and what that costs, worked out once for all models that a pass may load there. */
class EvictionOptions {
  private readonly capacityMb: number;

  private readonly byEngine = new Map<string, readonly Eviction[]>();

  constructor(private readonly context: Context) {
    this.capacityMb = modelCapacityMb(context.engine);
  }

  /** Returns the memory that is free for models on an engine. */
  freeMb({ models }: TargetView): number {
    return this.capacityMb - sum([...models.keys()].map((model) => this.sizeMb(model)));
  }

  /**
   * Returns the models that may be evicted, the cheapest first. A model in use is left out: its unload would wait for
   * the running requests and block other changes of the engine.
   */
  on(view: TargetView): readonly Eviction[] {
    const known = this.byEngine.get(view.entry.id);
    if (known !== undefined) return known;
    const evictions = [...view.models.keys()]
      .filter((model) => this.mayEvict(view.entry.id, model))
      .map((model) => ({
        model,
        sizeMb: this.sizeMb(model),
        costMs: this.costMs(view.entry.id, model),
      }))
      .sort((one, other) => one.costMs - other.costMs);
    this.byEngine.set(view.entry.id, evictions);
    return evictions;
  }

  private sizeMb(model: string): number {
    return this.context.engine.models.get(model)?.sizeMb ?? 0;
  }

  private mayEvict(id: string, model: string): boolean {
    const { requested, residentMs, running } = this.context;
    if (requested.has(model) || running(id, model) > 0) return false;
    return residentMs(id, model) >= RUNNING_REPORT_DELAY_MS;
  }

  /** Returns the cost of evicting a model from an engine, in request-milliseconds. */
  private costMs(id: string, model: string): number {
    const { engine, rates, isSpare, hasCopyElsewhere } = this.context;
    const spec = engine.models.get(model);
    const rate = (rates.get(model) ?? 0) + BASE_RATE_PER_S;
    const share = isSpare(id, model) ? SPARE_REPLICA_COST_SHARE : 1;
    const reloadMs = hasCopyElsewhere(id, model) ? spec?.diskLoadMs : spec?.storeLoadMs;
    return rate * (reloadMs ?? 0) * share;
  }
}

export default EvictionOptions;
