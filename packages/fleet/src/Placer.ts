import { rendezvousOrder } from '@wisteriapath/model';
import assetId from './assetId';
import DeferredLoadLog from './DeferredLoadLog';
import DigestSender from './DigestSender';
import EngineRegistry from './EngineRegistry';
import EngineSpeedSource from './EngineSpeedSource';
import type EngineSpec from './EngineSpec';
import LeftLoads from './LeftLoads';
import LoadForecaster from './LoadForecaster';
import LoadNeed from './LoadNeed';
import LoadsUnderWay from './LoadsUnderWay';
import type PlacerOptions from './PlacerOptions';
import type PlacerParts from './PlacerParts';
import type PlannedLoad from './PlannedLoad';
import type PlanningPass from './PlanningPass';
import StoreLoadLimiter from './StoreLoadLimiter';
import StoreLoadMonitor from './StoreLoadMonitor';
import type TargetView from './TargetView';
import type WaitingModel from './WaitingModel';
import createAdapterContext from './createAdapterContext';
import createModelContext from './createModelContext';
import deferringPools from './deferringPools';
import mayLoadFromStore from './mayLoadFromStore';
import planAdapter from './planAdapter';
import planModel from './planModel';
import planPrefetch from './planPrefetch';
import rankWaitingModels from './rankWaitingModels';
import replicateBusyModels from './replicateBusyModels';
import runLoop from './runLoop';
import storeLoadShare from './storeLoadShare';

/** Waiting time of a request after which this placer loads an adapter for which another one is responsible. */
const OTHER_PLACER_ADAPTER_WAIT_MS = 120;
/** Interval of planning passes without a trigger. */
const TICK_INTERVAL_MS = 40;
/** Minimum time between two planning passes. */
const MIN_PLANNING_INTERVAL_MS = 8;
/** Time before the authority begins at which engines are asked what they hold. */
const SYNC_LEAD_MS = 1_200;

/** Decides which model or adapter is loaded on which engine while this instance holds the authority. */
class Placer {
  private readonly engines: EngineRegistry;

  private readonly loads: LoadsUnderWay;

  private readonly engineSpeeds: EngineSpeedSource;

  private readonly digestSender: DigestSender;

  private readonly storeLimiter: StoreLoadLimiter;

  private readonly storeLoads: StoreLoadMonitor;

  private readonly leftLoads: LeftLoads;

  private readonly deferredLoadLog: DeferredLoadLog;

  private readonly forecaster: LoadForecaster;

  private cachedContext:
    | { readonly pass: PlanningPass; readonly context: ReturnType<Placer['modelContext']> }
    | undefined;

  private isStopped = false;

  private isPlanningScheduled = false;

  private lastPlannedMs = -Infinity;

  constructor(
    private readonly options: PlacerOptions,
    private readonly parts: PlacerParts,
  ) {
    this.engineSpeeds = new EngineSpeedSource(parts);
    this.digestSender = new DigestSender(parts);
    this.storeLimiter = new StoreLoadLimiter(parts.clock, () => ({
      maxPerS: Math.max(0, ...this.pools.map(([, engine]) => engine.maxStoreLoadsPerS)),
      windowMs: options.weightStoreWindowMs,
      maxActive: storeLoadShare(options.maxConcurrentStoreLoads, parts.activeDomains().length),
    }));
    this.leftLoads = new LeftLoads({ ...parts, failureDomain: options.failureDomain });
    this.storeLoads = new StoreLoadMonitor(parts, options.maxConcurrentStoreLoads);
    this.engines = new EngineRegistry(parts, this.storeLimiter, () => this.schedulePlanning());
    this.loads = new LoadsUnderWay(parts, this.engines);
    this.forecaster = new LoadForecaster(parts, options.failureDomain, this.engines);
    this.deferredLoadLog = new DeferredLoadLog(parts, {
      ownViews: (pool) => this.ownViews(pool),
      engineOf: (view) => this.engines.engineOf(view),
    });
  }

  /** Runs until `stop`: plans while the authority is held, and reads engine reports shortly before. */
  async run(): Promise<void> {
    const { clock, log } = this.parts;
    const isOver = () => this.isStopped;
    void this.parts.scaler?.run();
    await runLoop({ name: 'placer', clock, log, isOver, step: () => this.tick() });
  }

  private async tick(): Promise<void> {
    const { authority, clock } = this.parts;
    if (authority.isHeld()) {
      this.schedulePlanning();
      this.digestSender.sendIfDue();
    } else if (authority.isHeldWithin(SYNC_LEAD_MS)) this.syncEngines();
    else this.engines.clear();
    await clock.sleep(TICK_INTERVAL_MS);
  }

  /** Reads what the engines hold before orders may be given. */
  private syncEngines(): void {
    this.pools.forEach(([pool]) => {
      this.ownViews(pool).forEach((view) => this.engines.engineOf(view).executor.isStateKnown);
    });
  }

  stop(): void {
    this.isStopped = true;
    this.parts.scaler?.stop();
  }

  /** Schedules a planning pass. Called when a request starts to wait or an engine becomes free. */
  schedulePlanning(): void {
    if (this.isPlanningScheduled || !this.parts.authority.isHeld()) return;
    this.isPlanningScheduled = true;
    setTimeout(
      () => {
        this.isPlanningScheduled = false;
        this.lastPlannedMs = this.parts.clock.nowMs();
        if (!this.parts.authority.isHeld()) return;
        const engines = new Map(this.pools);
        this.storeLoads.observe(this.parts.table.allTargets(), (pool, model) =>
          engines.get(pool)?.models.get(model),
        );
        engines.forEach((engine, pool) => this.planPool(pool, engine));
      },
      Math.max(0, this.lastPlannedMs + MIN_PLANNING_INTERVAL_MS - this.parts.clock.nowMs()),
    );
  }

  private get pools(): readonly (readonly [string, EngineSpec])[] {
    const pools = [...(this.parts.desired()?.pools.values() ?? [])];
    return pools.flatMap(({ name, engine }) => (engine === null ? [] : [[name, engine] as const]));
  }

  private planPool(pool: string, engine: EngineSpec): void {
    const { demand: aggregator } = this.parts;
    const demand = aggregator.snapshot(pool);
    const desired = this.parts.desired();
    const isDeferring = desired !== undefined && deferringPools(desired).has(pool);
    const ranked = this.rankWaiting({ pool, engine, demand, isDeferring });
    const copyWorths = ranked.filter(({ isFromStore }) => !isFromStore).map(({ worth }) => worth);
    const pass: PlanningPass = {
      pool,
      isDeferring,
      engine,
      demand,
      speeds: this.engineSpeeds.of(pool),
      bestCopyWorth: Math.max(0, ...copyWorths),
      storeSlots: this.storeLoads.freeSlots,
      taken: new Set(),
    };
    this.leftLoads.retain(new Set(ranked.map(({ model }) => model)));
    ranked.forEach((waiting) => this.planWaitingModel(pass, waiting));
    demand.waiting.forEach(({ model, adapter, waitedMs }) => {
      const holding = this.reachableHolding(pass, model);
      if (adapter !== null && holding.length > 0) {
        this.loadAdapter(pass, model, adapter, holding, waitedMs >= OTHER_PLACER_ADAPTER_WAIT_MS);
      }
      this.resendPlacement(pass, model, adapter);
    });
    const isLoading = (model: string) => this.loads.includes(pool, model);
    if (isDeferring) this.forecaster.update(pass, ranked, isLoading);
    this.replicateBusyModels(pass);
    this.prefetch(pass);
  }

  private rankWaiting({
    pool,
    engine,
    demand,
    isDeferring,
  }: Pick<PlanningPass, 'pool' | 'engine' | 'demand' | 'isDeferring'>): readonly WaitingModel[] {
    return rankWaitingModels(demand, {
      nowMs: this.parts.clock.nowMs(),
      views: this.parts.table.inService(pool),
      models: engine.models,
      unservedMs: (model) => this.parts.demand.recordUnserved(pool, model),
      isHeld: (model) => this.reachableHolding({ pool, demand }, model).length > 0,
      isDeferring,
    });
  }

  private reachableHolding(
    { pool, demand }: Pick<PlanningPass, 'pool' | 'demand'>,
    model: string,
  ): readonly TargetView[] {
    return this.parts.table
      .holding(pool, model, null)
      .filter(({ entry }) => !demand.unreachable.has(entry.id));
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

  /** Loads a waiting model, unless a load under way ends soon enough. */
  private planWaitingModel(pass: PlanningPass, waiting: WaitingModel): void {
    const need = this.loads.needOf(pass, waiting);
    if (need !== LoadNeed.AnyLoad) this.parts.demand.recordLoad(pass.pool, waiting.model);
    if (need === LoadNeed.Nothing) this.leftLoads.clear(waiting.model);
    else this.loadWaitingModel(pass, waiting, need);
  }

  /** Loads a model, or leaves it to the placer of a better engine, or puts it off. */
  private loadWaitingModel(pass: PlanningPass, waiting: WaitingModel, need: LoadNeed): void {
    const { model, waitedMs, worth, order, canWait } = waiting;
    const base = this.contextFor(pass);
    const spec = pass.engine.models.get(model)!;
    // A load from the store goes ahead of short ones if it is worth more for the time that it takes.
    const isStoreFree =
      need === LoadNeed.AnyLoad &&
      pass.storeSlots > 0 &&
      mayLoadFromStore(waiting, spec) &&
      this.storeLimiter.hasCapacity &&
      (base.isStoreFree || worth >= pass.bestCopyWorth);
    const evictions = canWait ? base.deferrableEvictions : base.evictions;
    const context = { ...base, isStoreFree, evictions };
    const contextOfAll = {
      ...context,
      free: [...context.free, ...this.freeEnginesElsewhere(pass)],
    };
    const bestPlan = planModel(spec, contextOfAll, 'waiting');
    const isOwn = bestPlan !== undefined && this.filterOwn([bestPlan.view]).length > 0;
    const ownPlan = isOwn ? bestPlan : planModel(spec, context, 'waiting');
    if (ownPlan !== undefined && (isOwn || this.leftLoads.isOwnTurn(ownPlan, bestPlan))) {
      this.executeInPass(pass, { ...ownPlan, order });
      return;
    }
    if (bestPlan === undefined) this.leftLoads.clear(model);
    this.deferredLoadLog.record({ pass, model, waitedMs, order, bestPlan, ownPlan, context });
    if (bestPlan === undefined) return;
    pass.taken.add(bestPlan.view.entry.id);
    if (bestPlan.fromStore) Object.assign(pass, { storeSlots: pass.storeSlots - 1 });
  }

  private executeInPass(pass: PlanningPass, plan: PlannedLoad): void {
    this.parts.demand.recordLoad(pass.pool, plan.model);
    this.leftLoads.clear(plan.model);
    if (plan.fromStore) Object.assign(pass, { storeSlots: pass.storeSlots - 1 });
    this.execute(plan);
  }

  private filterOwn(views: readonly TargetView[]): readonly TargetView[] {
    return views.filter(({ entry }) => entry.failureDomain === this.options.failureDomain);
  }

  private ownViews(pool: string): readonly TargetView[] {
    return this.filterOwn(this.parts.table.inService(pool));
  }

  /** Returns the engines of other active placers that have announced no change in progress. */
  private freeEnginesElsewhere({ pool, demand, taken }: PlanningPass): readonly TargetView[] {
    const nowMs = this.parts.clock.nowMs();
    const active = new Set(this.parts.activeDomains());
    active.delete(this.options.failureDomain);
    return this.parts.table
      .inService(pool)
      .filter(({ entry }) => active.has(entry.failureDomain) && !demand.unreachable.has(entry.id))
      .filter(({ entry, busyUntilMs }) => busyUntilMs <= nowMs && !taken.has(entry.id));
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
    const usable = this.filterOwn(holding).filter((view) => {
      const own = this.engines.engineOf(view);
      return !own.isBusy && own.executor.isStateKnown;
    });
    const input = { engine, demand, holding: usable.map((view) => this.withOwnState(view)) };
    const plan = planAdapter(model, adapter, createAdapterContext(input, this.engines));
    if (plan !== undefined) this.execute(plan);
  }

  /** Loads further replicas of busy models, and of models whose engines are too slow. */
  private replicateBusyModels(pass: PlanningPass): void {
    const { pool } = pass;
    replicateBusyModels(pass, {
      holders: (model) => this.parts.table.holding(pool, model, null),
      isLoading: (model) => this.loads.includes(pool, model),
      isOwn: (view) => this.filterOwn([view]).length > 0,
      activeDomains: () => this.parts.activeDomains(),
      isResponsible: (model, domains) => this.isResponsible(model, domains),
      context: () => this.contextFor(pass),
      freeElsewhere: () => this.freeEnginesElsewhere(pass),
      hasStoreCapacity: () => this.storeLimiter.hasCapacity,
      execute: (plan) => this.execute(plan),
    });
  }

  /** Loads a model of which no engine has a copy, so that a later load is short. */
  private prefetch(pass: PlanningPass): void {
    if (!this.storeLimiter.hasCapacity) return;
    const { pool } = pass;
    const ownViews = this.ownViews(pool);
    const active = this.parts.activeDomains();
    const spec = planPrefetch({
      ...pass,
      views: this.parts.table.inService(pool),
      own: {
        count: ownViews.length,
        busy: ownViews.filter((view) => this.engines.engineOf(view).isBusy).length,
      },
      isLoading: (model) => this.loads.includes(pool, model),
      isResponsible: (model) => this.isResponsible(model, active),
    });
    const plan = spec && planModel(spec, this.contextFor(pass), 'ahead');
    if (plan !== undefined) this.executeInPass(pass, plan);
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

  private modelContext({ pool, engine, demand, isDeferring, speeds }: PlanningPass) {
    const views = this.parts.table.inService(pool).map((view) => this.withOwnState(view));
    return createModelContext(
      { views, own: this.filterOwn(views), engine, demand, isDeferring, speeds },
      this.engines,
      this.parts.clock.nowMs(),
    );
  }

  /** Returns the view with the models that this placer knows from its orders, if it controls the engine. */
  private withOwnState(view: TargetView): TargetView {
    return this.filterOwn([view]).length > 0
      ? this.engines.engineOf(view).executor.withCurrentModels(view)
      : view;
  }
}

export default Placer;
