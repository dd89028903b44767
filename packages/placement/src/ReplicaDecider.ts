import { type Clock, type Pool, type Route } from '@wisteriapath/model';
import type Asset from './Asset';
import AssetUses from './AssetUses';
import type MemoryReservation from './MemoryReservation';
import AssetPhase from './AssetPhase';
import type DecisionEvent from './DecisionEvent';
import type LoadPlan from './LoadPlan';
import OrderKind from './OrderKind';
import Shortages from './Shortages';
import type RetentionPolicy from './RetentionPolicy';
import type TargetAgent from './TargetAgent';
import assetsOf from './assetsOf';
import expectedLoadMs from './expectedLoadMs';
import planLoad from './planLoad';

interface Parts {
  readonly failureDomain: string;
  readonly clock: Clock;
  /** Epoch of the tenure in which decisions are made. */
  readonly epoch: () => number;
  /** Records a decision before its order is sent; resolves within a bounded time. */
  readonly record: (event: DecisionEvent) => Promise<void>;
  readonly retention: RetentionPolicy;
  readonly limits: { readonly leaseTermMs: number; readonly idleUnloadMs: number };
}

const isSaturated = (serving: readonly TargetAgent[]): boolean =>
  serving.length > 0 && serving.every((agent) => agent.window.isWarm);

/** Decides which replicas are loaded and unloaded in one failure domain. */
class ReplicaDecider {
  private decisions = 0;

  private readonly uses = new AssetUses();

  private readonly shortages: Shortages;

  constructor(private readonly parts: Parts) {
    this.shortages = new Shortages(parts.limits.leaseTermMs);
  }

  /** Notes that assets are asked for. */
  recordUse(assets: readonly Asset[]): void {
    const ids = assets.map((asset) => asset.id);
    this.uses.recordUse(ids, this.parts.clock.nowMs());
  }

  /**
   * Whether another replica is worth its load: at once where none serves, else when the shortage has
   * lasted for as long as the load would take, so that a burst that drains sooner loads none.
   */
  isDue(
    assets: readonly Asset[],
    agents: readonly TargetAgent[],
    serving: readonly TargetAgent[],
  ): boolean {
    const asset = assets.at(-1);
    if (asset === undefined || serving.length === 0) return true;
    if (!isSaturated(serving)) return false;
    const loadMs = agents.map((agent) => expectedLoadMs(asset, agent.tier(asset.id)));
    return this.shortages.record(asset.id, this.parts.clock.nowMs()) >= Math.min(...loadMs);
  }

  /** Decides another replica if one is due; false if none serves or can be loaded. */
  async addReplica(
    route: Route,
    pool: Pool,
    agents: readonly TargetAgent[],
    serving: readonly TargetAgent[],
  ): Promise<boolean> {
    const assets = assetsOf(route);
    if (assets.length === 0) return serving.length > 0;
    const expecting = agents.filter((agent) => agent.isLoadedOrLoading(assets));
    const underWay = expecting.length > serving.length;
    if (underWay || expecting.length >= pool.maxReplicas) return true;
    const { uses } = this;
    const context = { uses, retention: this.parts.retention, nowMs: this.parts.clock.nowMs() };
    const plans = agents
      .filter((agent) => !agent.isLoadedOrLoading(assets))
      .flatMap((agent) => planLoad(agent, assets, context) ?? [])
      .sort((a, b) => a.expectedMs - b.expectedMs);
    if (plans.length > 0) {
      await this.carryOut(plans[0], plans);
      return true;
    }
    return agents.some((agent) => !agent.canChangeAssets || agent.isBusyWith(assets));
  }

  private async carryOut(plan: LoadPlan, plans: readonly LoadPlan[]): Promise<void> {
    const { agent, evictions, loads } = plan;
    const candidates = plans.map((other) => ({
      target: other.agent.name,
      expectedMs: Math.round(other.expectedMs),
    }));
    evictions.forEach((asset) => agent.queueUnload(asset));
    loads.forEach((asset) => agent.queueLoad(asset));
    await Promise.all([
      ...evictions.map((asset) => this.decide(OrderKind.Unload, asset, agent, 'evicted', [])),
      ...loads.map((asset) => this.decide(OrderKind.Load, asset, agent, 'demand', candidates)),
    ]);
    agent.wake();
  }

  private decide(
    kind: OrderKind,
    asset: Asset,
    agent: TargetAgent,
    reason: string,
    candidates: DecisionEvent['candidates'],
  ): Promise<void> {
    this.decisions += 1;
    const epoch = this.parts.epoch();
    return this.parts.record({
      decision: `${this.parts.failureDomain}/${epoch}/${this.decisions}`,
      epoch,
      kind,
      assetId: asset.id,
      target: agent.name,
      reason,
      candidates,
    });
  }

  /** Expected time until one of the agents has the assets ready. */
  expectedReadyMs(agents: readonly TargetAgent[], assets: readonly Asset[]): number {
    const nowMs = this.parts.clock.nowMs();
    const remaining = agents
      .filter((agent) => agent.isLoadedOrLoading(assets))
      .map((agent) =>
        agent.memory
          .all()
          .filter((charge) => assets.some((asset) => asset.id === charge.asset.id))
          .filter((charge) => charge.phase !== AssetPhase.Ready)
          .map((charge) => {
            const totalMs = expectedLoadMs(charge.asset, agent.tier(charge.asset.id));
            return Math.max(0, totalMs - (nowMs - charge.phaseSinceMs));
          })
          .reduce((sum, waitMs) => sum + waitMs, 0),
      );
    return remaining.length === 0 ? 0 : Math.min(...remaining);
  }

  /** Unloads what has been idle for longer than it is worth keeping. */
  async unloadIdle(agents: readonly TargetAgent[]): Promise<void> {
    for (const agent of agents.filter(({ canChangeAssets: changeable }) => changeable)) {
      const going = agent.memory
        .all()
        .filter((charge) => this.isWorthless(agent, charge))
        .flatMap((charge) => ReplicaDecider.leaving(agent, charge));
      const assets = new Set(going.map(({ asset }) => asset));
      for (const asset of assets) {
        agent.queueUnload(asset);
        await this.decide(OrderKind.Unload, asset, agent, 'idle', []);
      }
      if (assets.size > 0) agent.wake();
    }
  }

  private isWorthless(agent: TargetAgent, { asset, phaseSinceMs: sinceMs }: MemoryReservation): boolean {
    const { clock, retention, limits } = this.parts;
    const nowMs = clock.nowMs();
    const gaps = this.uses.idleGapsOf(asset.id);
    const keepMs = retention.keepAliveMs({
      gaps,
      loadMs: expectedLoadMs(asset, agent.tier(asset.id)),
      sizeMb: asset.sizeMb,
      memoryMb: agent.target.memoryMb,
      limitMs: limits.idleUnloadMs,
    });
    return Math.min(gaps.idleMs(nowMs), nowMs - sinceMs) > keepMs;
  }

  /** An idle replica with everything on top of it; nothing while some of it is in use. */
  private static leaving(agent: TargetAgent, charge: MemoryReservation): readonly MemoryReservation[] {
    const all = agent.memory.withAdapters(charge);
    const isIdle = ({ phase, asset }: MemoryReservation) =>
      phase === AssetPhase.Ready && !agent.slots.isInUse(asset.id);
    return all.every(isIdle) ? all : [];
  }
}

export default ReplicaDecider;
