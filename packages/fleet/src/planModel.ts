import { sum } from '@wisteriapath/model';
import type EngineSpec from './EngineSpec';
import type ModelSpec from './ModelSpec';
import type PlannedLoad from './PlannedLoad';
import type TargetView from './TargetView';
import chooseAlike from './chooseAlike';

interface Context {
  readonly engine: EngineSpec;
  /** Engines that may be given an order now, including those of other placers. */
  readonly free: readonly TargetView[];
  /** Replicas of each model on the engines in service. */
  readonly replicaCounts: ReadonlyMap<string, number>;
  /** Requests per second by model. */
  readonly rates: ReadonlyMap<string, number>;
  /** Models that requests wait for. */
  readonly requested: ReadonlySet<string>;
  /** Returns the number of requests that run with a model on an engine. */
  readonly running: (engine: string, model: string) => number;
  /** Whether a load from the weight store may start now. */
  readonly isStoreFree: boolean;
  /** Whether a busy engine with a copy will be free before a load from the weight store would end. */
  readonly hasCopySoon: (model: string) => boolean;
  /** Whether an engine other than `engine` has loaded a model or has a copy of it. */
  readonly hasCopyElsewhere: (engine: string, model: string) => boolean;
  /** Returns the time since a model was loaded on an engine. */
  readonly residentMs: (engine: string, model: string) => number;
}

/** Time for which a model counts as in use after its load, until instances report running requests for it. */
const RUNNING_REPORT_DELAY_MS = 700;
/** Minimum time for which a loaded model stays, so that the requests that waited for it are served. */
const MIN_RESIDENT_MS = 400;
/** Request rate assumed for every model, in addition to the reported one. */
const BASE_RATE_PER_S = 0.1;
/** Cost of evicting one of several replicas, as a share of the cost of evicting the only one. */
const SPARE_REPLICA_COST_SHARE = 0.15;
const LOAD_OVERHEAD_MS = 10;
/** Ratio of two costs that count as different. */
const COST_STEP_FACTOR = 1.3;

interface Candidate {
  readonly plan: PlannedLoad;
  readonly costMs: number;
}

const loadTime = ({ entry }: TargetView, spec: ModelSpec): { ms: number; fromStore: boolean } => {
  if (entry.inMemory.has(spec.name)) return { ms: spec.memoryLoadMs, fromStore: false };
  if (entry.onDisk.has(spec.name)) return { ms: spec.diskLoadMs, fromStore: false };
  return { ms: spec.storeLoadMs, fromStore: true };
};

/** Returns the memory for models, after reserving space for as many adapters as an engine may hold. */
const modelCapacityMb = ({ weightsMb, adapterSlots, models }: EngineSpec): number => {
  const largestMb = Math.max(0, ...[...models.values()].map(({ adapterSizeMb }) => adapterSizeMb));
  return weightsMb - adapterSlots * largestMb;
};

const usedMb = ({ models }: TargetView, engine: EngineSpec): number =>
  sum([...models.keys()].map((name) => engine.models.get(name)?.sizeMb ?? 0));

const isInUse = ({ entry }: TargetView, model: string, context: Context): boolean =>
  context.running(entry.id, model) > 0 ||
  context.residentMs(entry.id, model) < RUNNING_REPORT_DELAY_MS;

/** Returns the cost of evicting a model from an engine, in request-milliseconds. */
const evictionCost = (view: TargetView, model: string, context: Context): number => {
  const spec = context.engine.models.get(model);
  const rate = (context.rates.get(model) ?? 0) + BASE_RATE_PER_S;
  const share = (context.replicaCounts.get(model) ?? 1) > 1 ? SPARE_REPLICA_COST_SHARE : 1;
  const reloadMs = context.hasCopyElsewhere(view.entry.id, model)
    ? spec?.diskLoadMs
    : spec?.storeLoadMs;
  return rate * (reloadMs ?? 0) * share;
};

/**
 * Returns the models that may be evicted, the cheapest first. A model in use is left out: its unload would wait for
 * the running requests and block other changes of the engine.
 */
const evictableModels = (view: TargetView, context: Context): string[] =>
  [...view.models.keys()]
    .filter((model) => !context.requested.has(model))
    .filter((model) => context.residentMs(view.entry.id, model) >= MIN_RESIDENT_MS)
    .filter((model) => !isInUse(view, model, context))
    .sort((one, other) => evictionCost(view, one, context) - evictionCost(view, other, context));

const candidateOn = (
  view: TargetView,
  spec: ModelSpec,
  context: Context,
  reason: string,
): Candidate | undefined => {
  const load = loadTime(view, spec);
  if (load.fromStore && (!context.isStoreFree || context.hasCopySoon(spec.name))) return undefined;
  let missingMb = usedMb(view, context.engine) + spec.sizeMb - modelCapacityMb(context.engine);
  const evictions: { model: string; adapter: null }[] = [];
  let costMs = 0;
  for (const model of missingMb > 0 ? evictableModels(view, context) : []) {
    if (missingMb <= 0) break;
    const evicted = context.engine.models.get(model);
    missingMb -= evicted?.sizeMb ?? 0;
    evictions.push({ model, adapter: null });
    costMs += evictionCost(view, model, context);
  }
  if (missingMb > 0) return undefined;
  const expectedMs = load.ms + LOAD_OVERHEAD_MS;
  const { fromStore } = load;
  const plan = { view, model: spec.name, adapter: null, evictions, expectedMs, fromStore, reason };
  return { plan, costMs: costMs + load.ms };
};

/** Orders candidates by their cost, in steps within which placers may differ in what they know of each other's engines. */
const costStep = ({ costMs }: Candidate): number =>
  Math.floor(Math.log(Math.max(1, costMs)) / Math.log(COST_STEP_FACTOR));

/**
 * Plans where to load a model: on the engine with the lowest cost of the load and its evictions. Of engines that cost
 * about the same, all placers choose the same one. Returns `undefined` if no engine can take it.
 *
 * @example
 * const plan = planModel(spec, context, 'waiting');
 */
const planModel = (spec: ModelSpec, context: Context, reason: string): PlannedLoad | undefined => {
  const candidates = context.free
    .filter(({ models }) => !models.has(spec.name))
    .map((view) => candidateOn(view, spec, context, reason))
    .filter((candidate) => candidate !== undefined);
  const lowest = Math.min(...candidates.map(costStep));
  const best = candidates.filter((candidate) => costStep(candidate) === lowest);
  const plans = new Map(best.map(({ plan }) => [plan.view.entry.id, plan]));
  return plans.get(chooseAlike(spec.name, [...plans.keys()]) ?? '');
};

export default planModel;
