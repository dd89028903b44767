import { type ConfigState, getRow } from '@wisteriapath/config';
import {
  type Clock,
  ErrorKind,
  type Pool,
  type Route,
  TableName,
  type Target,
} from '@wisteriapath/model';
import type AcquireAnswer from './AcquireAnswer';
import type AcquireAsk from './AcquireAsk';
import type Asset from './Asset';
import AssetUses from './AssetUses';
import ChargePhase from './ChargePhase';
import type DecisionEvent from './DecisionEvent';
import LoadPermits from './LoadPermits';
import type LoadPlan from './LoadPlan';
import OrderKind from './OrderKind';
import Shortages from './Shortages';
import TargetAgent from './TargetAgent';
import type TargetControl from './TargetControl';
import assetsOf from './assetsOf';
import expectedLoadMs from './expectedLoadMs';
import grantSlots from './grantSlots';
import inService from './inService';
import planLoad from './planLoad';

interface Limits {
  readonly leaseTermMs: number;
  readonly pollIntervalMs: number;
  readonly idleUnloadMs: number;
  readonly kvFloorShare: number;
  readonly storeLoadsAtOnce: number;
  readonly adaptersInTransit: number;
}

interface Parts {
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly control: TargetControl;
  readonly config: () => ConfigState;
  /** Epoch of this instance's tenure; undefined while it does not hold the role. */
  readonly heldEpoch: () => number | undefined;
  /** Whether orders may go to targets that ignore fencing numbers. */
  readonly mayOrderUnfenced: () => boolean;
  /** Records a decision before its order is sent; resolves within a bounded time. */
  readonly record: (event: DecisionEvent) => Promise<void>;
  readonly limits: Limits;
}

const NOT_PLACER: AcquireAnswer = {
  isPlacer: false,
  grants: [],
  refusal: null,
  expectedReadyMs: 0,
  mayOverflow: true,
};

const refused = (refusal: ErrorKind): AcquireAnswer => ({ ...NOT_PLACER, isPlacer: true, refusal });

const isSaturated = (serving: readonly TargetAgent[]): boolean =>
  serving.length > 0 && serving.every((agent) => agent.window.warm);

/** Decides every load and unload in one failure domain, and leases the slots of its targets. */
class Placer {
  private agents = new Map<string, TargetAgent>();

  private agentsEpoch = 0;

  private syncedConfig: ConfigState | undefined;

  private decisions = 0;

  private readonly uses = new AssetUses();

  private readonly permits: LoadPermits;

  private readonly shortages: Shortages;

  private readonly stopping = new AbortController();

  constructor(private readonly parts: Parts) {
    this.permits = new LoadPermits(parts.limits.storeLoadsAtOnce, parts.limits.adaptersInTransit);
    this.shortages = new Shortages(parts.limits.leaseTermMs);
  }

  /** The targets as this placer sees them, for operators. */
  get targets(): readonly TargetAgent[] {
    return [...this.agents.values()];
  }

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopping.abort();
    this.dropAgents();
  }

  async acquire(ask: AcquireAsk): Promise<AcquireAnswer> {
    if (!this.sync()) return NOT_PLACER;
    const config = this.parts.config();
    const route = getRow(config, TableName.Routes, ask.route)?.value;
    const pool = route && getRow(config, TableName.Pools, route.pool)?.value;
    if (route === undefined || pool === undefined) return refused(ErrorKind.RouteIncomplete);
    this.noteUses(ask);
    const agents = inService(config, this.parts.failureDomain) ? this.agentsOf(pool) : [];
    const assets = assetsOf(route);
    const serving = agents.filter((agent) => agent.serves(assets));
    const grants = grantSlots(ask, assets, serving);
    if (agents.length === 0) return refused(ErrorKind.NoTarget);
    const unmet = ask.wantSlots - grants.reduce((sum, grant) => sum + grant.slots, 0);
    if (ask.wantSlots > 0) {
      this.uses.use(
        assets.map((asset) => asset.id),
        this.parts.clock.nowMs(),
      );
    }
    const isDue = unmet > 0 && this.isReplicaDue(assets, agents, serving);
    const fits = !isDue || (await this.addReplica(route, pool, agents, serving));
    if (serving.length === 0 && !fits) return refused(ErrorKind.CannotFit);
    const mayOverflow = assets.length === 0 || (isDue && serving.length > 0);
    const expectedReadyMs = serving.length > 0 ? 0 : this.expectedReadyMs(agents, assets);
    return { isPlacer: true, grants, refusal: null, expectedReadyMs, mayOverflow };
  }

  /**
   * Whether another replica is worth its load: at once where none serves, else when the shortage has
   * lasted for as long as the load would take, so that a burst that drains sooner loads none.
   */
  private isReplicaDue(
    assets: readonly Asset[],
    agents: readonly TargetAgent[],
    serving: readonly TargetAgent[],
  ): boolean {
    const asset = assets.at(-1);
    if (asset === undefined || serving.length === 0) return true;
    if (!isSaturated(serving)) return false;
    const loadMs = agents.map((agent) => expectedLoadMs(asset, agent.tier(asset.id)));
    return this.shortages.note(asset.id, this.parts.clock.nowMs()) >= Math.min(...loadMs);
  }

  /** Matches the agents to the tenure and the configuration; false without the role. */
  private sync(): boolean {
    const epoch = this.parts.heldEpoch();
    if (epoch !== this.agentsEpoch) this.dropAgents();
    if (epoch === undefined) return false;
    this.agentsEpoch = epoch;
    const config = this.parts.config();
    if (config !== this.syncedConfig) this.syncAgents(config, epoch);
    this.syncedConfig = config;
    return true;
  }

  private syncAgents(config: ConfigState, epoch: number): void {
    const wanted = new Map<string, Target>();
    config.tables[TableName.Pools].forEach((row) => {
      Object.entries((row.value as Pool).targets)
        .filter(([, target]) => target.failureDomain === this.parts.failureDomain)
        .forEach(([name, target]) => wanted.set(name, target));
    });
    this.agents.forEach((agent, name) => {
      if (JSON.stringify(wanted.get(name)) === JSON.stringify(agent.target)) return;
      agent.stop();
      this.agents.delete(name);
    });
    wanted.forEach((target, name) => {
      if (!this.agents.has(name)) this.agents.set(name, this.startAgent(name, target, epoch));
    });
  }

  private startAgent(name: string, target: Target, epoch: number): TargetAgent {
    const { limits, control, clock, mayOrderUnfenced } = this.parts;
    const agent = new TargetAgent({
      name,
      target,
      control,
      clock,
      epoch,
      pollIntervalMs: limits.pollIntervalMs,
      leaseTermMs: limits.leaseTermMs,
      assetMemoryMb: target.memoryMb * (1 - limits.kvFloorShare),
      mayOrder: () => target.fencing || mayOrderUnfenced(),
      takePermit: (assetId) => this.permits.take(name, assetId),
      returnPermit: (assetId) => this.permits.giveBack(name, assetId),
      onStale: () => this.dropAgents(),
    });
    agent.start();
    return agent;
  }

  private dropAgents(): void {
    this.agents.forEach((agent) => agent.stop());
    this.agents = new Map();
    this.agentsEpoch = 0;
    this.syncedConfig = undefined;
  }

  private agentsOf(pool: Pool): TargetAgent[] {
    return Object.keys(pool.targets).flatMap((name) => this.agents.get(name) ?? []);
  }

  private noteUses(ask: AcquireAsk): void {
    ask.uses.forEach((use) => {
      const window = this.agents.get(use.target)?.window;
      window?.succeeded(use.succeeded);
      if (use.failed + use.slow > 0) window?.overloaded();
    });
  }

  /** Decides another replica if one is due; false if none serves or can be loaded. */
  private async addReplica(
    route: Route,
    pool: Pool,
    agents: readonly TargetAgent[],
    serving: readonly TargetAgent[],
  ): Promise<boolean> {
    const assets = assetsOf(route);
    if (assets.length === 0) return serving.length > 0;
    const expecting = agents.filter((agent) => agent.expects(assets));
    const underWay = expecting.length > serving.length;
    if (underWay || expecting.length >= pool.maxReplicas) return true;
    const nowMs = this.parts.clock.nowMs();
    const plans = agents
      .filter((agent) => !agent.expects(assets))
      .flatMap((agent) => planLoad(agent, assets, this.uses, nowMs) ?? [])
      .sort((a, b) => a.expectedMs - b.expectedMs);
    if (plans.length > 0) {
      await this.carryOut(plans[0], plans);
      return true;
    }
    return agents.some((agent) => !agent.changeable || agent.isBusyWith(assets));
  }

  private async carryOut(plan: LoadPlan, plans: readonly LoadPlan[]): Promise<void> {
    const { agent, evictions, loads } = plan;
    const candidates = plans.map((other) => ({
      target: other.agent.name,
      expectedMs: Math.round(other.expectedMs),
    }));
    evictions.forEach((asset) => agent.unload(asset));
    loads.forEach((asset) => agent.load(asset));
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
    return this.parts.record({
      decision: `${this.parts.failureDomain}/${this.agentsEpoch}/${this.decisions}`,
      epoch: this.agentsEpoch,
      kind,
      assetId: asset.id,
      target: agent.name,
      reason,
      candidates,
    });
  }

  private expectedReadyMs(agents: readonly TargetAgent[], assets: readonly Asset[]): number {
    const nowMs = this.parts.clock.nowMs();
    const remaining = agents
      .filter((agent) => agent.expects(assets))
      .map((agent) =>
        agent.memory
          .all()
          .filter((charge) => assets.some((asset) => asset.id === charge.asset.id))
          .filter((charge) => charge.phase !== ChargePhase.Ready)
          .map((charge) => {
            const totalMs = expectedLoadMs(charge.asset, agent.tier(charge.asset.id));
            return Math.max(0, totalMs - (nowMs - charge.sinceMs));
          })
          .reduce((sum, waitMs) => sum + waitMs, 0),
      );
    return remaining.length === 0 ? 0 : Math.min(...remaining);
  }

  /** Unloads what has been idle for longer than it is worth keeping. */
  private async run(): Promise<void> {
    const { clock, limits } = this.parts;
    const { signal } = this.stopping;
    while (!signal.aborted) {
      if (this.sync()) await this.unloadIdle();
      await clock.sleep(limits.pollIntervalMs, signal);
    }
  }

  private async unloadIdle(): Promise<void> {
    const nowMs = this.parts.clock.nowMs();
    for (const agent of this.agents.values()) {
      for (const charge of agent.changeable ? agent.memory.all() : []) {
        const gaps = this.uses.of(charge.asset.id);
        const idleMs = Math.min(gaps.idleMs(nowMs), nowMs - charge.sinceMs);
        const loadMs = expectedLoadMs(charge.asset, agent.tier(charge.asset.id));
        const due = idleMs > gaps.keepAliveMs(this.parts.limits.idleUnloadMs, loadMs);
        const based = agent.memory
          .all()
          .some((other) => other.asset.id.startsWith(`${charge.asset.id}/`));
        const busy = based || agent.slots.inUse(charge.asset.id);
        if (charge.phase === ChargePhase.Ready && due && !busy) {
          agent.unload(charge.asset);
          await this.decide(OrderKind.Unload, charge.asset, agent, 'idle', []);
          agent.wake();
        }
      }
    }
  }
}

export default Placer;
