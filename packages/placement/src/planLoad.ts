import type Asset from './Asset';
import type AssetUses from './AssetUses';
import type Charge from './Charge';
import ChargePhase from './ChargePhase';
import type LoadPlan from './LoadPlan';
import type TargetAgent from './TargetAgent';
import expectedLoadMs from './expectedLoadMs';

/** Time for which a replica stays before it may be evicted, so that two models do not alternate. */
const MIN_RESIDENT_MS = 10_000;
const EVICTION_MS = 100;
const QUEUED_LOAD_MS = 500;

/** What is lost by evicting: expected reload time an hour, for each megabyte freed. */
const evictionCost = (agent: TargetAgent, uses: AssetUses, asset: Asset): number =>
  (expectedLoadMs(asset, agent.tier(asset.id)) * uses.of(asset.id).usesPerHour()) / asset.sizeMb;

const isBaseInUse = (agent: TargetAgent, assetId: string): boolean =>
  agent.memory.all().some((charge) => charge.asset.id.startsWith(`${assetId}/`));

const isEvictable = (
  agent: TargetAgent,
  needed: readonly Asset[],
  charge: Charge,
  nowMs: number,
): boolean =>
  charge.phase === ChargePhase.Ready &&
  nowMs - charge.sinceMs >= MIN_RESIDENT_MS &&
  !needed.some((asset) => asset.id === charge.asset.id) &&
  !agent.slots.inUse(charge.asset.id) &&
  !isBaseInUse(agent, charge.asset.id);

const chooseEvictions = (
  agent: TargetAgent,
  needed: readonly Asset[],
  uses: AssetUses,
  missingMb: number,
  nowMs: number,
): Asset[] | undefined => {
  const candidates = agent.memory
    .all()
    .filter((charge) => isEvictable(agent, needed, charge, nowMs))
    .map((charge) => charge.asset)
    .sort((a, b) => evictionCost(agent, uses, a) - evictionCost(agent, uses, b));
  const chosen: Asset[] = [];
  let freedMb = 0;
  for (const asset of candidates) {
    if (freedMb >= missingMb) return chosen;
    chosen.push(asset);
    freedMb += asset.sizeMb;
  }
  return freedMb >= missingMb ? chosen : undefined;
};

/**
 * Plans how one engine could load what it lacks of `assets`; undefined if it has no room.
 *
 * @example
 * const plan = planLoad(agent, assetsOf(route), uses, clock.nowMs());
 */
const planLoad = (
  agent: TargetAgent,
  assets: readonly Asset[],
  uses: AssetUses,
  nowMs: number,
): LoadPlan | undefined => {
  const leaving = assets.some((asset) => agent.memory.phase(asset.id) === ChargePhase.Unloading);
  if (!agent.changeable || leaving) return undefined;
  const loads = assets.filter((asset) => agent.memory.phase(asset.id) === undefined);
  const neededMb = loads.reduce((sum, asset) => sum + asset.sizeMb, 0);
  const missingMb = neededMb - agent.memory.plannedFreeMb();
  const evictions = chooseEvictions(agent, assets, uses, missingMb, nowMs);
  if (evictions === undefined) return undefined;
  const loadMs = loads.reduce((sum, asset) => sum + expectedLoadMs(asset, agent.tier(asset.id)), 0);
  const expectedMs = loadMs + evictions.length * EVICTION_MS + agent.queuedLoads * QUEUED_LOAD_MS;
  return { agent, loads, evictions, expectedMs };
};

export default planLoad;
