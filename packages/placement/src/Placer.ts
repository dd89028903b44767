import { type ConfigState, getRow } from '@wisteriapath/config';
import { type Clock, ErrorKind, type Pool, TableName, type Target } from '@wisteriapath/model';
import type SlotLeaseReply from './SlotLeaseReply';
import type SlotLeaseRequest from './SlotLeaseRequest';
import type DecisionEvent from './DecisionEvent';
import LoadPermits from './LoadPermits';
import ReplicaDecider from './ReplicaDecider';
import TargetAgent from './TargetAgent';
import type RetentionPolicy from './RetentionPolicy';
import type TargetControl from './TargetControl';
import assetsOf from './assetsOf';
import expectedUsePolicy from './expectedUsePolicy';
import grantSlots from './grantSlots';
import isInService from './isInService';

interface Limits {
  /** Term of a slot lease. */
  readonly leaseTermMs: number;
  /** Interval at which target reports are read and idle assets are looked for. */
  readonly pollIntervalMs: number;
  /** Upper limit of the keep-alive time of an idle asset. */
  readonly idleUnloadMs: number;
  /** Fraction of an engine's memory that is reserved for the KV cache. */
  readonly kvFloorShare: number;
  /** Most models that this failure domain loads from the weight store at once. */
  readonly storeLoadsAtOnce: number;
  /** Most adapters that this failure domain loads from the weight store at once. */
  readonly adaptersInTransit: number;
}

interface Parts {
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly control: TargetControl;
  readonly config: () => ConfigState;
  /** Epoch in which this instance holds the placer role; undefined while it does not hold it. */
  readonly heldEpoch: () => number | undefined;
  /** Whether orders may be sent to targets that ignore fencing tokens. */
  readonly canOrderUnfenced: () => boolean;
  /** Records a decision before its order is sent; resolves within a bounded time. */
  readonly record: (event: DecisionEvent) => Promise<void>;
  readonly limits: Limits;
  /** Decides which idle replicas are kept; `expectedUsePolicy` by default. */
  readonly retention?: RetentionPolicy;
}

const NOT_PLACER: SlotLeaseReply = {
  isPlacer: false,
  grants: [],
  refusal: null,
  expectedReadyMs: 0,
  mayOverflow: true,
};

const refuse = (refusal: ErrorKind): SlotLeaseReply => ({
  ...NOT_PLACER,
  isPlacer: true,
  refusal,
});

/**
 * Leases the slots of the targets of one failure domain to instances, and loads the models that
 * they request.
 */
class Placer {
  private agents = new Map<string, TargetAgent>();

  private agentsEpoch = 0;

  private syncedConfig: ConfigState | undefined;

  private readonly replicas: ReplicaDecider;

  private readonly permits: LoadPermits;

  private readonly stopController = new AbortController();

  constructor(private readonly parts: Parts) {
    this.permits = new LoadPermits(parts.limits.storeLoadsAtOnce, parts.limits.adaptersInTransit);
    const { failureDomain, clock, record, limits, retention = expectedUsePolicy } = parts;
    const epoch = () => this.agentsEpoch;
    this.replicas = new ReplicaDecider({ failureDomain, clock, record, limits, retention, epoch });
  }

  /** Agents of the targets, for the status that operators read. */
  get targets(): readonly TargetAgent[] {
    return [...this.agents.values()];
  }

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopController.abort();
    this.stopAgents();
  }

  /**
   * Leases slots to an instance, and starts to load a replica if one is due. Never loads for
   * services.
   */
  async acquire(request: SlotLeaseRequest): Promise<SlotLeaseReply> {
    if (!this.sync()) return NOT_PLACER;
    const config = this.parts.config();
    const route = getRow(config, TableName.Routes, request.route)?.value;
    const pool = route && getRow(config, TableName.Pools, route.pool)?.value;
    if (route === undefined || pool === undefined) return refuse(ErrorKind.RouteIncomplete);
    this.recordUses(request);
    const agents = isInService(config, this.parts.failureDomain) ? this.agentsOf(pool) : [];
    const assets = assetsOf(route);
    const serving = agents.filter((agent) => agent.serves(assets));
    const grants = grantSlots(request, assets, serving);
    if (agents.length === 0) return refuse(ErrorKind.NoTarget);
    const unmet = request.wantSlots - grants.reduce((sum, grant) => sum + grant.slots, 0);
    if (request.wantSlots > 0) this.replicas.recordUse(assets);
    const isDue = unmet > 0 && this.replicas.isDue(assets, agents, serving);
    const fits = !isDue || (await this.replicas.addReplica(route, pool, agents, serving));
    if (serving.length === 0 && !fits) return refuse(ErrorKind.CannotFit);
    const mayOverflow = assets.length === 0 || (isDue && serving.length > 0);
    const expectedReadyMs = serving.length > 0 ? 0 : this.replicas.expectedReadyMs(agents, assets);
    return { isPlacer: true, grants, refusal: null, expectedReadyMs, mayOverflow };
  }

  /**
   * Starts and stops agents to match the current epoch and configuration. Returns false if this
   * instance does not hold the role.
   */
  private sync(): boolean {
    const epoch = this.parts.heldEpoch();
    if (epoch !== this.agentsEpoch) this.stopAgents();
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
    const { limits, control, clock, canOrderUnfenced: mayOrderUnfenced } = this.parts;
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
      acquirePermit: (assetId) => this.permits.acquire(name, assetId),
      releasePermit: (assetId) => this.permits.release(name, assetId),
      onStale: () => this.stopAgents(),
    });
    agent.start();
    return agent;
  }

  private stopAgents(): void {
    this.agents.forEach((agent) => agent.stop());
    this.agents = new Map();
    this.agentsEpoch = 0;
    this.syncedConfig = undefined;
  }

  private agentsOf(pool: Pool): TargetAgent[] {
    return Object.keys(pool.targets).flatMap((name) => this.agents.get(name) ?? []);
  }

  private recordUses(request: SlotLeaseRequest): void {
    request.uses.forEach((use) => {
      const window = this.agents.get(use.target)?.window;
      window?.recordSuccesses(use.succeeded);
      if (use.failed + use.slow > 0) window?.recordOverload();
    });
  }

  /** Periodically unloads the assets whose keep-alive time is over. */
  private async run(): Promise<void> {
    const { clock, limits } = this.parts;
    const { signal } = this.stopController;
    while (!signal.aborted) {
      if (this.sync()) await this.replicas.unloadIdle(this.targets);
      await clock.sleep(limits.pollIntervalMs, signal);
    }
  }
}

export default Placer;
