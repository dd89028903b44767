import type Asset from './Asset';
import type AssetUses from './AssetUses';
import type MemoryReservation from './MemoryReservation';
import AssetPhase from './AssetPhase';
import type LoadPlan from './LoadPlan';
import type RetentionPolicy from './RetentionPolicy';
import type TargetAgent from './TargetAgent';
import expectedLoadMs from './expectedLoadMs';

/** Time for which a replica stays before it may be evicted, so that two models do not alternate. */
const MIN_RESIDENT_MS = 10_000;
const EVICTION_MS = 100;
const QUEUED_LOAD_MS = 500;

interface Context {
  readonly uses: AssetUses;
  readonly retention: RetentionPolicy;
  readonly nowMs: number;
}

/** What goes together: an adapter, or a model with every adapter on top of it. */
type Eviction = readonly MemoryReservation[];

/** An eviction loses as much as its most valuable part. */
const evictionCost = (agent: TargetAgent, { uses, retention, nowMs }: Context, going: Eviction) => {
  const costs = going.map(({ asset }) => {
    const gaps = uses.idleGapsOf(asset.id);
    const loadMs = expectedLoadMs(asset, agent.tier(asset.id));
    return retention.evictionCost({ gaps, loadMs, sizeMb: asset.sizeMb, nowMs });
  });
  return Math.max(...costs);
};

const isEvictable = (
  agent: TargetAgent,
  needed: readonly Asset[],
  charge: MemoryReservation,
  nowMs: number,
): boolean =>
  charge.phase === AssetPhase.Ready &&
  nowMs - charge.phaseSinceMs >= MIN_RESIDENT_MS &&
  !needed.some((asset) => asset.id === charge.asset.id) &&
  !agent.slots.isInUse(charge.asset.id);

/** The possible evictions, the least loss first. Adapters stand before their model. */
const evictionsOf = (
  agent: TargetAgent,
  needed: readonly Asset[],
  context: Context,
): readonly Eviction[] =>
  agent.memory
    .all()
    .map((charge) => agent.memory.withAdapters(charge))
    .filter((going) => going.every((charge) => isEvictable(agent, needed, charge, context.nowMs)))
    .map((going) => ({ going, cost: evictionCost(agent, context, going) }))
    .sort((one, other) => one.cost - other.cost)
    .map(({ going }) => going);

const chooseEvictions = (
  agent: TargetAgent,
  needed: readonly Asset[],
  missingMb: number,
  context: Context,
): Asset[] | undefined => {
  const chosen = new Set<Asset>();
  const freedMb = () => [...chosen].reduce((sum, asset) => sum + asset.sizeMb, 0);
  for (const going of missingMb > 0 ? evictionsOf(agent, needed, context) : []) {
    if (freedMb() >= missingMb) break;
    going.forEach(({ asset }) => chosen.add(asset));
  }
  return freedMb() >= missingMb ? [...chosen] : undefined;
};

/**
 * Plans how one engine could load what it lacks of `assets`; undefined if it has no room.
 *
 * @example
 * const plan = planLoad(agent, assetsOf(route), { uses, retention, nowMs: clock.nowMs() });
 */
const planLoad = (
  agent: TargetAgent,
  assets: readonly Asset[],
  context: Context,
): LoadPlan | undefined => {
  const leaving = assets.some((asset) => agent.memory.phaseOf(asset.id) === AssetPhase.Unloading);
  if (!agent.canChangeAssets || leaving) return undefined;
  const loads = assets.filter((asset) => agent.memory.phaseOf(asset.id) === undefined);
  const neededMb = loads.reduce((sum, asset) => sum + asset.sizeMb, 0);
  const missingMb = neededMb - agent.memory.plannedFreeMb();
  const evictions = chooseEvictions(agent, assets, missingMb, context);
  if (evictions === undefined) return undefined;
  const loadMs = loads.reduce((sum, asset) => sum + expectedLoadMs(asset, agent.tier(asset.id)), 0);
  const expectedMs = loadMs + evictions.length * EVICTION_MS + agent.queuedLoadCount * QUEUED_LOAD_MS;
  return { agent, loads, evictions, expectedMs };
};

export default planLoad;
