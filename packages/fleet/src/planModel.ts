import { sum } from '@wisteriapath/model';
import type EngineSpec from './EngineSpec';
import type ModelSpec from './ModelSpec';
import type PlannedLoad from './PlannedLoad';
import type TargetView from './TargetView';

interface Context {
  readonly engine: EngineSpec;
  /** Engines that may be ordered now, those of other placers included. */
  readonly free: readonly TargetView[];
  /** Replicas of each model in service, loads under way included. */
  readonly replicas: ReadonlyMap<string, number>;
  /** Requests a second by model. */
  readonly rates: ReadonlyMap<string, number>;
  /** Models that requests wait for. */
  readonly wanted: ReadonlySet<string>;
  readonly running: (engine: string, model: string) => number;
  readonly storeIsFree: boolean;
  /** Whether an engine that is busy now has a copy and will be free before the store has loaded. */
  readonly copyIsSoon: (model: string) => boolean;
  /** Whether an engine other than this one has a model or a copy of it. */
  readonly hasCopyElsewhere: (engine: string, model: string) => boolean;
  /** Time since an engine got a model, in ms. */
  readonly residentMs: (engine: string, model: string) => number;
}

/** Time for which a model that was just loaded counts as in use, before instances tell of it. */
const UNTOLD_MS = 700;
/** Time for which a loaded model stays, so that requests that waited for it are served. */
const MIN_RESIDENT_MS = 400;
/** Rate that every model is expected to have. */
const LEAST_RATE_PER_S = 0.1;
/** Cost of removing one replica of several, as a share of the cost of removing the only one. */
const SPARE_SHARE = 0.15;
const TIER_OVERHEAD_MS = 10;

interface Option {
  readonly plan: PlannedLoad;
  readonly costMs: number;
}

const loadMsOn = ({ entry }: TargetView, spec: ModelSpec): { ms: number; fromStore: boolean } => {
  if (entry.inMemory.has(spec.name)) return { ms: spec.memoryLoadMs, fromStore: false };
  if (entry.onDisk.has(spec.name)) return { ms: spec.diskLoadMs, fromStore: false };
  return { ms: spec.storeLoadMs, fromStore: true };
};

/** Memory for models, with room kept for as many adapters as an engine may hold. */
const roomMb = ({ weightsMb, adapterSlots, models }: EngineSpec): number => {
  const largestMb = Math.max(0, ...[...models.values()].map(({ adapterSizeMb }) => adapterSizeMb));
  return weightsMb - adapterSlots * largestMb;
};

const usedMb = ({ models }: TargetView, engine: EngineSpec): number =>
  sum([...models.keys()].map((name) => engine.models.get(name)?.sizeMb ?? 0));

const isInUse = ({ entry }: TargetView, model: string, context: Context): boolean =>
  context.running(entry.id, model) > 0 || context.residentMs(entry.id, model) < UNTOLD_MS;

/** What the removal of a model from an engine costs, in request-milliseconds. */
const evictionCost = (view: TargetView, model: string, context: Context): number => {
  const spec = context.engine.models.get(model);
  const rate = (context.rates.get(model) ?? 0) + LEAST_RATE_PER_S;
  const share = (context.replicas.get(model) ?? 1) > 1 ? SPARE_SHARE : 1;
  const reloadMs = context.hasCopyElsewhere(view.entry.id, model)
    ? spec?.diskLoadMs
    : spec?.storeLoadMs;
  return rate * (reloadMs ?? 0) * share;
};

/** Models that may leave: an unload waits for the runs of a model, and its engine changes nothing meanwhile. */
const evictable = (view: TargetView, context: Context): string[] =>
  [...view.models.keys()]
    .filter((model) => !context.wanted.has(model))
    .filter((model) => context.residentMs(view.entry.id, model) >= MIN_RESIDENT_MS)
    .filter((model) => !isInUse(view, model, context))
    .sort((one, other) => evictionCost(view, one, context) - evictionCost(view, other, context));

const optionOn = (
  view: TargetView,
  spec: ModelSpec,
  context: Context,
  reason: string,
): Option | undefined => {
  const load = loadMsOn(view, spec);
  if (load.fromStore && (!context.storeIsFree || context.copyIsSoon(spec.name))) return undefined;
  let missingMb = usedMb(view, context.engine) + spec.sizeMb - roomMb(context.engine);
  const evictions: { model: string; adapter: null }[] = [];
  let costMs = 0;
  for (const model of missingMb > 0 ? evictable(view, context) : []) {
    if (missingMb <= 0) break;
    const leaving = context.engine.models.get(model);
    missingMb -= leaving?.sizeMb ?? 0;
    evictions.push({ model, adapter: null });
    costMs += evictionCost(view, model, context);
  }
  if (missingMb > 0) return undefined;
  const expectedMs = load.ms + TIER_OVERHEAD_MS;
  const { fromStore } = load;
  const plan = { view, model: spec.name, adapter: null, evictions, expectedMs, fromStore, reason };
  return { plan, costMs: costMs + load.ms };
};

/**
 * Plans where to load a model: the engine on which the load and what it evicts cost least.
 *
 * @example
 * const plan = planModel(spec, context, 'waiting');
 */
const planModel = (spec: ModelSpec, context: Context, reason: string): PlannedLoad | undefined => {
  const options = context.free
    .filter(({ models }) => !models.has(spec.name))
    .map((view) => optionOn(view, spec, context, reason))
    .filter((option) => option !== undefined)
    .sort((one, other) => one.costMs - other.costMs);
  return options[0]?.plan;
};

export default planModel;
