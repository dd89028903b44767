import type Asset from './Asset';
import type AssetUses from './AssetUses';
import type MemoryReservation from './MemoryReservation';
import AssetPhase from './AssetPhase';
import type LoadPlan from './LoadPlan';
import type RetentionPolicy from './RetentionPolicy';
import type TargetAgent from './TargetAgent';
import expectedLoadMs from './expectedLoadMs';

/** Minimum time between load and eviction, so that two models do not evict each other in turn. */
const MIN_RESIDENT_MS = 10_000;
const EXPECTED_EVICTION_MS = 100;
const EXPECTED_QUEUED_LOAD_MS = 500;

interface Context {
  readonly uses: AssetUses;
  readonly retention: RetentionPolicy;
  readonly nowMs: number;
}

/** Assets that are evicted together: an adapter, or a model with all of its adapters. */
type Eviction = readonly MemoryReservation[];

/** Returns the cost of an eviction, which is that of its most costly asset. */
const evictionCost = (
  agent: TargetAgent,
  { uses, retention, nowMs }: Context,
  eviction: Eviction,
) => {
  const costs = eviction.map(({ asset }) => {
    const gaps = uses.idleGapsOf(asset.id);
    const loadMs = expectedLoadMs(asset, agent.tier(asset.id));
    return retention.evictionCost({ gaps, loadMs, sizeMb: asset.sizeMb, nowMs });
  });
  return Math.max(...costs);
};

const isEvictable = (
  agent: TargetAgent,
  needed: readonly Asset[],
  reservation: MemoryReservation,
  nowMs: number,
): boolean =>
  reservation.phase === AssetPhase.Ready &&
  nowMs - reservation.phaseSinceMs >= MIN_RESIDENT_MS &&
  !needed.some((asset) => asset.id === reservation.asset.id) &&
  !agent.slots.isInUse(reservation.asset.id);

/** Returns the possible evictions, lowest cost first. Adapters precede their model. */
const evictionsOf = (
  agent: TargetAgent,
  needed: readonly Asset[],
  context: Context,
): readonly Eviction[] =>
  agent.memory
    .all()
    .map((reservation) => agent.memory.withAdapters(reservation))
    .filter((eviction) =>
      eviction.every((reservation) => isEvictable(agent, needed, reservation, context.nowMs)),
    )
    .map((eviction) => ({ eviction, cost: evictionCost(agent, context, eviction) }))
    .sort((one, other) => one.cost - other.cost)
    .map(({ eviction }) => eviction);

const chooseEvictions = (
  agent: TargetAgent,
  needed: readonly Asset[],
  missingMb: number,
  context: Context,
): Asset[] | undefined => {
  const chosen = new Set<Asset>();
  const freedMb = () => [...chosen].reduce((sum, asset) => sum + asset.sizeMb, 0);
  for (const eviction of missingMb > 0 ? evictionsOf(agent, needed, context) : []) {
    if (freedMb() >= missingMb) break;
    eviction.forEach(({ asset }) => chosen.add(asset));
  }
  return freedMb() >= missingMb ? [...chosen] : undefined;
};

/**
 * Plans how one engine can load those of `assets` that it lacks. Returns undefined if it cannot
 * make room or change its assets now.
 *
 * @example
 * const plan = planLoad(agent, assetsOf(route), { uses, retention, nowMs: clock.nowMs() });
 */
const planLoad = (
  agent: TargetAgent,
  assets: readonly Asset[],
  context: Context,
): LoadPlan | undefined => {
  const isUnloading = assets.some(
    (asset) => agent.memory.phaseOf(asset.id) === AssetPhase.Unloading,
  );
  if (!agent.canChangeAssets || isUnloading) return undefined;
  const loads = assets.filter((asset) => agent.memory.phaseOf(asset.id) === undefined);
  const neededMb = loads.reduce((sum, asset) => sum + asset.sizeMb, 0);
  const missingMb = neededMb - agent.memory.plannedFreeMb();
  const evictions = chooseEvictions(agent, assets, missingMb, context);
  if (evictions === undefined) return undefined;
  const loadMs = loads.reduce((sum, asset) => sum + expectedLoadMs(asset, agent.tier(asset.id)), 0);
  const expectedMs =
    loadMs +
    evictions.length * EXPECTED_EVICTION_MS +
    agent.queuedLoadCount * EXPECTED_QUEUED_LOAD_MS;
  return { agent, loads, evictions, expectedMs };
};

export default planLoad;
