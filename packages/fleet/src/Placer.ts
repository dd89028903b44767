import { type Clock, rendezvousOrder } from '@wisteriapath/model';
import type Authority from './Authority';
import assetId from './assetId';
import DeferredLoadLog from './DeferredLoadLog';
import type DemandAggregator from './DemandAggregator';
import type DemandSnapshot from './DemandSnapshot';
import type DesiredState from './DesiredState';
import type EngineControl from './EngineControl';
import EngineRegistry from './EngineRegistry';
import type EngineSpec from './EngineSpec';
import type EventLog from './EventLog';
import type PlacementUpdate from './PlacementUpdate';
import type PlannedLoad from './PlannedLoad';
import StoreLoadLimiter from './StoreLoadLimiter';
import type TargetTable from './TargetTable';
import type TargetView from './TargetView';
import canLoadFromStore from './canLoadFromStore';
import hasCopy from './hasCopy';
import hasCopySoon from './hasCopySoon';
import planAdapter from './planAdapter';
import planModel from './planModel';

interface Options {
  /** Failure domain whose engines this placer controls. */
  readonly failureDomain: string;
  /** Number of concurrent loads that the weight store serves at full speed, over all placers. */
  readonly maxConcurrentStoreLoads: number;
  /** Window over which the rate of loads from the weight store is limited. */
  readonly weightStoreWindowMs: number;
}

interface Parts {
  readonly clock: Clock;
  readonly authority: Authority;
  readonly control: EngineControl;
  readonly table: TargetTable;
  readonly demand: DemandAggregator;
  readonly log: EventLog;
  readonly desired: () => DesiredState | undefined;
  /** Failure domains with an active placer, this one included. */
  readonly activeDomains: () => readonly string[];
  /** Sends placement updates to one instance, or to all if none is given. */
  readonly publish: (updates: readonly PlacementUpdate[], instance?: string) => void;
}

/** The input of one planning pass over one pool. */
interface PlanningPass {
  readonly pool: string;
  readonly engine: EngineSpec;
  readonly demand: DemandSnapshot;
}

/** Waiting time of a request after which this placer loads a model that a better engine elsewhere has not loaded. */
const OTHER_PLACER_WAIT_MS = 350;
/** The same if this placer would have to load from the weight store. */
const OTHER_PLACER_STORE_WAIT_MS = 2_000;
/** The same for adapters. */
const OTHER_PLACER_ADAPTER_WAIT_MS = 120;
/** Interval of planning passes without a trigger. */
const TICK_INTERVAL_MS = 40;
/** Minimum time between two planning passes. */
const MIN_PLANNING_INTERVAL_MS = 8;
/** Time before the authority begins at which engines are asked what they hold. */
const SYNC_LEAD_MS = 1_200;
const MAX_LOADING_ADAPTERS_PER_ENGINE = 4;
/** Request rate from which a model gets a second replica. */
const SECOND_REPLICA_RATE_PER_S = 6;
const MAX_BUSY_MODEL_REPLICAS = 2;
/** Share of the engines that may load from the weight store ahead of demand while there is none. */
const IDLE_PREFETCH_SHARE = 0.5;
/** The same once there are requests: an engine cannot make any other change during a long load. */
const BUSY_PREFETCH_SHARE = 0.13;

/** Whether a further replica evicts only models with less than half its request rate. */
const isWorthReplicating = (
  plan: PlannedLoad,
  rate: number,
  rates: ReadonlyMap<string, number>,
): boolean => plan.evictions.every(({ model }) => (rates.get(model) ?? 0) * 2 < rate);

/** Decides which model or adapter is loaded on which engine while this instance holds the authority. */
class Placer {
  private readonly engines: EngineRegistry;

  private readonly storeLimiter: StoreLoadLimiter;

  private readonly deferredLoadLog: DeferredLoadLog;

  private cachedContext:
    | { readonly pass: PlanningPass; readonly context: ReturnType<Placer['modelContext']> }
    | undefined;

  private isStopped = false;

  private isPlanningScheduled = false;

  private lastPlannedMs = -Infinity;

  constructor(
    private readonly options: Options,
    private readonly parts: Parts,
  ) {
    this.storeLimiter = new StoreLoadLimiter(parts.clock, () => ({
      maxPerS: Math.max(0, ...this.pools.map(([, engine]) => engine.maxStoreLoadsPerS)),
      windowMs: options.weightStoreWindowMs,
      maxActive: Math.max(
        1,
        Math.floor(options.maxConcurrentStoreLoads / parts.activeDomains().length),
      ),
    }));
    this.engines = new EngineRegistry(parts, this.storeLimiter, () => this.schedulePlanning());
    this.deferredLoadLog = new DeferredLoadLog(parts, {
      ownViews: (pool) => this.ownViews(pool),
      engineOf: (view) => this.engines.engineOf(view),
    });
  }

  /** Runs until `stop`: plans while the authority is held, and reads engine reports shortly before. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const { authority } = this.parts;
      if (authority.isHeld()) this.schedulePlanning();
      else if (authority.isHeldWithin(SYNC_LEAD_MS)) this.syncEngines();
      else this.engines.clear();
      await this.parts.clock.sleep(TICK_INTERVAL_MS);
    }
  }

  /** Reads what the engines hold before orders may be given. */
  private syncEngines(): void {
    this.pools.forEach(([pool]) => {
      this.ownViews(pool).forEach((view) => this.engines.engineOf(view).executor.isStateKnown);
    });
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Schedules a planning pass. Called when a request starts to wait or an engine becomes free. */
  schedulePlanning(): void {
    if (this.isPlanningScheduled || !this.parts.authority.isHeld()) return;
    this.isPlanningScheduled = true;
    const sinceMs = this.parts.clock.nowMs() - this.lastPlannedMs;
    setTimeout(
      () => {
        this.isPlanningScheduled = false;
        this.lastPlannedMs = this.parts.clock.nowMs();
        if (!this.parts.authority.isHeld()) return;
        this.pools.forEach(([pool, engine]) => this.planPool(pool, engine));
      },
      Math.max(0, MIN_PLANNING_INTERVAL_MS - sinceMs),
    );
  }

  private get pools(): readonly (readonly [string, EngineSpec])[] {
    const pools = [...(this.parts.desired()?.pools.values() ?? [])];
    return pools.flatMap((pool) =>
      pool.engine === null ? [] : [[pool.name, pool.engine] as const],
    );
  }

  private planPool(pool: string, engine: EngineSpec): void {
    const demand = this.parts.demand.snapshot(pool);
    const pass: PlanningPass = { pool, engine, demand };
    demand.waiting.forEach(({ model, adapter, waitedMs }) => {
      if (!engine.models.has(model)) return;
      const holding = this.parts.table
        .holding(pool, model, null)
        .filter(({ entry }) => !demand.unreachable.has(entry.id));
      if (holding.length === 0) {
        this.loadWaitingModel(pass, model, waitedMs);
      } else if (adapter !== null) {
        this.loadAdapter(pass, model, adapter, holding, waitedMs >= OTHER_PLACER_ADAPTER_WAIT_MS);
      }
      this.resendPlacement(pass, model, adapter);
    });
    this.replicateBusyModels(pass);
    this.prefetch(pass);
  }

  /** Resends placement to instances that wait for what is loaded already, in case a datagram was lost. */
  private resendPlacement(
    { pool, demand }: PlanningPass,
    model: string,
    adapter: string | null,
  ): void {
    const holding = this.filterOwn(this.parts.table.holding(pool, model, adapter));
    if (holding.length === 0) return;
    const updates = holding.map((view) => this.engines.engineOf(view).executor.nextUpdate());
    const instances = demand.waitingInstances.get(assetId(model, adapter)) ?? [];
    instances.forEach((instance) => this.parts.publish(updates, instance));
  }

  private loadWaitingModel(pass: PlanningPass, model: string, waitedMs: number): void {
    if (this.isModelLoading(pass.pool, model)) return;
    const context = this.contextFor(pass);
    const spec = pass.engine.models.get(model)!;
    const contextOfAll = {
      ...context,
      free: [...context.free, ...this.freeEnginesElsewhere(pass)],
    };
    const bestPlan = planModel(spec, contextOfAll, 'waiting');
    const isOwn = bestPlan !== undefined && this.filterOwn([bestPlan.view]).length > 0;
    if (isOwn) {
      this.execute(bestPlan);
      return;
    }
    // The placer of the better engine sees the same demand, so it gets some time to load the model first.
    const ownPlan = planModel(spec, context, 'waiting');
    const otherPlacerWaitMs = ownPlan?.fromStore
      ? OTHER_PLACER_STORE_WAIT_MS
      : OTHER_PLACER_WAIT_MS;
    if (ownPlan !== undefined && waitedMs >= otherPlacerWaitMs) this.execute(ownPlan);
    else this.deferredLoadLog.record({ pass, model, waitedMs, bestPlan, ownPlan, context });
  }

  private isModelLoading(pool: string, model: string): boolean {
    const nowMs = this.parts.clock.nowMs();
    const isOwn = this.engines.all.some(({ loading }) => loading === model);
    const views = this.parts.table.inService(pool);
    return isOwn || views.some((view) => view.loading === model && view.busyUntilMs > nowMs);
  }

  private filterOwn(views: readonly TargetView[]): readonly TargetView[] {
    return views.filter(({ entry }) => entry.failureDomain === this.options.failureDomain);
  }

  private ownViews(pool: string): readonly TargetView[] {
    return this.filterOwn(this.parts.table.inService(pool));
  }

  /** Returns the engines of other active placers that have announced no change in progress. */
  private freeEnginesElsewhere({ pool, demand }: PlanningPass): readonly TargetView[] {
    const nowMs = this.parts.clock.nowMs();
    const active = new Set(this.parts.activeDomains());
    active.delete(this.options.failureDomain);
    return this.parts.table
      .inService(pool)
      .filter(({ entry }) => active.has(entry.failureDomain) && !demand.unreachable.has(entry.id))
      .filter(({ busyUntilMs }) => busyUntilMs <= nowMs);
  }

  /** Whether this placer is the one to make a decision that every placer in `domains` could make. */
  private isResponsible(key: string, domains: readonly string[]): boolean {
    return rendezvousOrder(key, domains)[0] === this.options.failureDomain;
  }

  private loadAdapter(
    { pool, engine, demand }: PlanningPass,
    model: string,
    adapter: string,
    holding: readonly TargetView[],
    isUrgent: boolean,
  ): void {
    const asset = assetId(model, adapter);
    if (this.parts.table.holding(pool, model, adapter).length > 0) return;
    const isLoading = this.engines.all.some(({ loadingAdapters }) => loadingAdapters.has(asset));
    const active = new Set(this.parts.activeDomains());
    const domains = holding
      .map(({ entry }) => entry.failureDomain)
      .filter((one) => active.has(one));
    if (isLoading || (!isUrgent && !this.isResponsible(asset, domains))) return;
    const plan = planAdapter(model, adapter, {
      engine,
      holding: this.filterOwn(holding)
        .filter((view) => {
          const own = this.engines.engineOf(view);
          return !own.isBusy && own.executor.isStateKnown;
        })
        .map((view) => this.withOwnState(view)),
      ratesByAsset: demand.assetRates,
      requested: new Set(demand.waiting.map((one) => assetId(one.model, one.adapter))),
      running: (id, ofModel, ofAdapter) =>
        demand.running.get(id)?.get(assetId(ofModel, ofAdapter)) ?? 0,
      loadingCount: (id) => this.engines.get(id)?.loadingAdapters.size ?? 0,
      maxLoading: MAX_LOADING_ADAPTERS_PER_ENGINE,
    });
    if (plan !== undefined) this.execute(plan);
  }

  /** Loads a further replica of busy models. */
  private replicateBusyModels(pass: PlanningPass): void {
    const { pool, engine, demand } = pass;
    [...demand.modelRates]
      .filter(([model, rate]) => rate >= SECOND_REPLICA_RATE_PER_S && engine.models.has(model))
      .sort(([, one], [, other]) => other - one)
      .forEach(([model, rate]) => {
        const present = this.parts.table.holding(pool, model, null);
        if (present.length >= MAX_BUSY_MODEL_REPLICAS || this.isModelLoading(pool, model)) return;
        const domains = new Set(present.map(({ entry }) => entry.failureDomain));
        const active = this.parts.activeDomains();
        const others = active.filter((domain) => !domains.has(domain));
        if (!this.isResponsible(model, others.length > 0 ? others : active)) return;
        const context = this.contextFor(pass);
        const spec = engine.models.get(model)!;
        const plan = planModel(spec, { ...context, isStoreFree: false }, 'busy');
        if (plan !== undefined && isWorthReplicating(plan, rate, demand.modelRates)) {
          this.execute(plan);
        }
      });
  }

  /** Loads models of which no engine has a copy, so that a later load is short. */
  private prefetch(pass: PlanningPass): void {
    const { pool, engine, demand } = pass;
    const views = this.parts.table.inService(pool);
    const ownViews = this.filterOwn(views);
    const busyCount = ownViews.filter((view) => this.engines.engineOf(view).isBusy).length;
    const share = demand.modelRates.size === 0 ? IDLE_PREFETCH_SHARE : BUSY_PREFETCH_SHARE;
    if (busyCount >= ownViews.length * share || !this.storeLimiter.hasCapacity) return;
    const withCopy = new Set(
      views.flatMap(({ entry, models }) => [...entry.inMemory, ...entry.onDisk, ...models.keys()]),
    );
    const active = this.parts.activeDomains();
    const missing = [...engine.models.values()].find(
      ({ name }) =>
        !withCopy.has(name) && this.isResponsible(name, active) && !this.isModelLoading(pool, name),
    );
    if (missing === undefined) return;
    const plan = planModel(missing, this.contextFor(pass), 'ahead');
    if (plan !== undefined) this.execute(plan);
  }

  private execute(plan: PlannedLoad): void {
    this.cachedContext = undefined;
    void this.engines.execute(plan);
  }

  /** Returns the planning context of a pass, cached until a load is ordered. */
  private contextFor(pass: PlanningPass): ReturnType<Placer['modelContext']> {
    if (this.cachedContext?.pass !== pass) {
      this.cachedContext = { pass, context: this.modelContext(pass) };
    }
    return this.cachedContext.context;
  }

  private modelContext({ pool, engine, demand }: PlanningPass) {
    const { table, clock } = this.parts;
    const nowMs = clock.nowMs();
    const views = table.inService(pool).map((view) => this.withOwnState(view));
    const own = this.filterOwn(views);
    const free = own.filter((view) => {
      const { isBusy, loadingAdapters, avoidUntilMs, executor } = this.engines.engineOf(view);
      const isIdle = !isBusy && loadingAdapters.size === 0;
      const isUsable = avoidUntilMs <= nowMs && !demand.unreachable.has(view.entry.id);
      return isIdle && isUsable && executor.isStateKnown;
    });
    const snapshot = { nowMs, engineOf: (id: string) => this.engines.get(id) };
    const engines = { all: views, own: own.length, free: free.length };
    const replicaCounts = new Map<string, number>();
    views.forEach(({ models }) =>
      models.forEach((_, model) => replicaCounts.set(model, (replicaCounts.get(model) ?? 0) + 1)),
    );
    return {
      engine,
      free,
      replicaCounts,
      rates: demand.modelRates,
      requested: new Set(demand.waiting.map(({ model }) => model)),
      running: (id: string, model: string) => demand.running.get(id)?.get(model) ?? 0,
      isStoreFree:
        this.storeLimiter.hasCapacity && canLoadFromStore(engines, demand.waiting, snapshot),
      hasCopyElsewhere: (id: string, model: string) =>
        views.some(
          ({ entry, models }) => entry.id !== id && (models.has(model) || hasCopy(entry, model)),
        ),
      hasCopySoon: (model: string) => hasCopySoon(views, engine.models.get(model), snapshot),
      residentMs: (id: string, model: string) =>
        nowMs - (this.engines.get(id)?.loadedMs.get(model) ?? -Infinity),
    };
  }

  /** Returns the view with the models that this placer knows from its orders, if it controls the engine. */
  private withOwnState(view: TargetView): TargetView {
    return this.filterOwn([view]).length > 0
      ? this.engines.engineOf(view).executor.withCurrentModels(view)
      : view;
  }
}

export default Placer;
