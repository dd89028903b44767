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
  /** Epoch of the placer that makes the decisions. */
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
  private decisionCount = 0;

  private readonly uses = new AssetUses();

  private readonly shortages: Shortages;

  constructor(private readonly parts: Parts) {
    this.shortages = new Shortages(parts.limits.leaseTermMs);
  }

  /** Records that assets are requested. */
  recordUse(assets: readonly Asset[]): void {
    const ids = assets.map((asset) => asset.id);
    this.uses.recordUse(ids, this.parts.clock.nowMs());
  }

  /**
   * Whether another replica is due: at once if no target serves, else when the shortage has lasted
   * for as long as the load would take. A burst that drains before a load would finish loads no
   * replica.
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

  /**
   * Decides to load another replica, unless one is loading or the pool has its maximum. Returns
   * false if none can be loaded, not even once busy engines are free. For services, returns whether
   * a target serves.
   */
  async addReplica(
    route: Route,
    pool: Pool,
    agents: readonly TargetAgent[],
    serving: readonly TargetAgent[],
  ): Promise<boolean> {
    const assets = assetsOf(route);
    if (assets.length === 0) return serving.length > 0;
    const current = agents.filter((agent) => agent.isLoadedOrLoading(assets));
    const isLoading = current.length > serving.length;
    if (isLoading || current.length >= pool.maxReplicas) return true;
    const { uses } = this;
    const context = { uses, retention: this.parts.retention, nowMs: this.parts.clock.nowMs() };
    const plans = agents
      .filter((agent) => !agent.isLoadedOrLoading(assets))
      .flatMap((agent) => planLoad(agent, assets, context) ?? [])
      .sort((a, b) => a.expectedMs - b.expectedMs);
    if (plans.length > 0) {
      await this.applyPlan(plans[0], plans);
      return true;
    }
    return agents.some((agent) => !agent.canChangeAssets || agent.isBusyWith(assets));
  }

  private async applyPlan(plan: LoadPlan, plans: readonly LoadPlan[]): Promise<void> {
    const { agent, evictions, loads } = plan;
    const candidates = plans.map((other) => ({
      target: other.agent.name,
      expectedMs: Math.round(other.expectedMs),
    }));
    evictions.forEach((asset) => agent.queueUnload(asset));
    loads.forEach((asset) => agent.queueLoad(asset));
    await Promise.all([
      ...evictions.map((asset) =>
        this.recordDecision(OrderKind.Unload, asset, agent, 'evicted', []),
      ),
      ...loads.map((asset) =>
        this.recordDecision(OrderKind.Load, asset, agent, 'demand', candidates),
      ),
    ]);
    agent.wake();
  }

  private recordDecision(
    kind: OrderKind,
    asset: Asset,
    agent: TargetAgent,
    reason: string,
    candidates: DecisionEvent['candidates'],
  ): Promise<void> {
    this.decisionCount += 1;
    const epoch = this.parts.epoch();
    return this.parts.record({
      decision: `${this.parts.failureDomain}/${epoch}/${this.decisionCount}`,
      epoch,
      kind,
      assetId: asset.id,
      target: agent.name,
      reason,
      candidates,
    });
  }

  /**
   * Returns the expected time until one of the targets has all assets ready; 0 if none is loading.
   */
  expectedReadyMs(agents: readonly TargetAgent[], assets: readonly Asset[]): number {
    const nowMs = this.parts.clock.nowMs();
    const remaining = agents
      .filter((agent) => agent.isLoadedOrLoading(assets))
      .map((agent) =>
        agent.memory
          .all()
          .filter((reservation) => assets.some((asset) => asset.id === reservation.asset.id))
          .filter((reservation) => reservation.phase !== AssetPhase.Ready)
          .map((reservation) => {
            const totalMs = expectedLoadMs(reservation.asset, agent.tier(reservation.asset.id));
            return Math.max(0, totalMs - (nowMs - reservation.phaseSinceMs));
          })
          .reduce((sum, waitMs) => sum + waitMs, 0),
      );
    return remaining.length === 0 ? 0 : Math.min(...remaining);
  }

  /** Unloads the assets that have been idle for longer than their keep-alive time. */
  async unloadIdle(agents: readonly TargetAgent[]): Promise<void> {
    for (const agent of agents.filter(({ canChangeAssets }) => canChangeAssets)) {
      const expired = agent.memory
        .all()
        .filter((reservation) => this.isIdleTooLong(agent, reservation))
        .flatMap((reservation) => ReplicaDecider.idleGroup(agent, reservation));
      const assets = new Set(expired.map(({ asset }) => asset));
      for (const asset of assets) {
        agent.queueUnload(asset);
        await this.recordDecision(OrderKind.Unload, asset, agent, 'idle', []);
      }
      if (assets.size > 0) agent.wake();
    }
  }

  private isIdleTooLong(agent: TargetAgent, { asset, phaseSinceMs }: MemoryReservation): boolean {
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
    return Math.min(gaps.idleMs(nowMs), nowMs - phaseSinceMs) > keepMs;
  }

  /** Returns an idle asset and its adapters; empty while one of them is in use. */
  private static idleGroup(
    agent: TargetAgent,
    reservation: MemoryReservation,
  ): readonly MemoryReservation[] {
    const all = agent.memory.withAdapters(reservation);
    const isIdle = ({ phase, asset }: MemoryReservation) =>
      phase === AssetPhase.Ready && !agent.slots.isInUse(asset.id);
    return all.every(isIdle) ? all : [];
  }
}

export default ReplicaDecider;
