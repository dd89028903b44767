import type EngineSpeeds from './EngineSpeeds';
import type EvictionOptions from './EvictionOptions';
import type ModelSpec from './ModelSpec';
import type PlannedLoad from './PlannedLoad';
import type TargetView from './TargetView';
import chooseAlike from './chooseAlike';

interface Context {
  /** Engines that may be given an order now, including those of other placers. */
  readonly free: readonly TargetView[];
  /** Whether a load from the weight store may start now. */
  readonly isStoreFree: boolean;
  /** Whether a busy engine with a copy will be free before a load from the weight store would end. */
  readonly hasCopySoon: (model: string) => boolean;
  readonly evictions: EvictionOptions;
  /** The speeds of the engines; absent if all count as equally fast. */
  readonly speeds?: EngineSpeeds | undefined;
}

const LOAD_OVERHEAD_MS = 10;
/** Ratio of two costs that count as different. */
const COST_STEP_FACTOR = 1.3;
/**
 * Cost of an engine on which streams break their gap target: more than a load from a copy elsewhere, as every stream there is late,
 * and less than one from the weight store, for which requests wait much longer.
 */
const BROKEN_GAP_COST_MS = 3_000;

interface Candidate {
  readonly plan: PlannedLoad;
  readonly costMs: number;
}

const loadTime = ({ entry }: TargetView, spec: ModelSpec): { ms: number; fromStore: boolean } => {
  if (entry.inMemory.has(spec.name)) return { ms: spec.memoryLoadMs, fromStore: false };
  if (entry.onDisk.has(spec.name)) return { ms: spec.diskLoadMs, fromStore: false };
  return { ms: spec.storeLoadMs, fromStore: true };
};

const candidateOn = (
  view: TargetView,
  spec: ModelSpec,
  context: Context,
  reason: string,
): Candidate | undefined => {
  const load = loadTime(view, spec);
  if (load.fromStore && (!context.isStoreFree || context.hasCopySoon(spec.name))) return undefined;
  let missingMb = spec.sizeMb - context.evictions.freeMb(view);
  const evictions: { model: string; adapter: null }[] = [];
  let costMs = 0;
  for (const eviction of missingMb > 0 ? context.evictions.on(view) : []) {
    if (missingMb <= 0) break;
    missingMb -= eviction.sizeMb;
    evictions.push({ model: eviction.model, adapter: null });
    costMs += eviction.costMs;
  }
  if (missingMb > 0) return undefined;
  const expectedMs = load.ms + LOAD_OVERHEAD_MS;
  const { fromStore } = load;
  const plan = { view, model: spec.name, adapter: null, evictions, expectedMs, fromStore, reason };
  const gapCostMs = context.speeds?.breaksGap(view.entry.id) ? BROKEN_GAP_COST_MS : 0;
  return { plan, costMs: costMs + load.ms + gapCostMs };
};

/** Orders candidates by their cost, in steps within which placers may differ in what they know of each other's engines. */
const costStep = ({ costMs }: Candidate): number =>
  Math.floor(Math.log(Math.max(1, costMs)) / Math.log(COST_STEP_FACTOR));

/**
 * Plans where to load a model: on the engine with the lowest cost of the load and its evictions. Of engines that cost
 * about the same, the faster ones are taken, and all placers choose the same one of these. Returns `undefined` if no engine can take it.
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
  const speedStep = ({ plan }: Candidate): number =>
    context.speeds?.stepOf(plan.view.entry.id) ?? 0;
  const fastest = Math.min(...best.map(speedStep));
  const equal = best.filter((candidate) => speedStep(candidate) === fastest);
  const plans = new Map(equal.map(({ plan }) => [plan.view.entry.id, plan]));
  return plans.get(chooseAlike(spec.name, [...plans.keys()]) ?? '');
};

export default planModel;
