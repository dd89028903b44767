import { type Clock, rendezvousOrder } from '@wisteriapath/model';
import type Authority from './Authority';
import assetId from './assetId';
import type DemandAggregator from './DemandAggregator';
import type DemandSnapshot from './DemandSnapshot';
import type DesiredState from './DesiredState';
import EngineDesk from './EngineDesk';
import type EngineControl from './EngineControl';
import type EngineSpec from './EngineSpec';
import type EventLog from './EventLog';
import type PlacementUpdate from './PlacementUpdate';
import type PlannedLoad from './PlannedLoad';
import PutOffLog from './PutOffLog';
import StorePermits from './StorePermits';
import type TargetTable from './TargetTable';
import type TargetView from './TargetView';
import copyIsSoon from './copyIsSoon';
import hasCopy from './hasCopy';
import mayLoadLong from './mayLoadLong';
import planAdapter from './planAdapter';
import planModel from './planModel';

interface Options {
  /** Failure domain whose engines this placer orders. */
  readonly failureDomain: string;
  /** Loads from the weight store that run at full speed. */
  readonly maxConcurrentStoreLoads: number;
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
  /** Failure domains whose placers are at work, this one's included. */
  readonly activeDomains: () => readonly string[];
  readonly publish: (updates: readonly PlacementUpdate[], instance?: string) => void;
}

/** One pass of planning for one pool. */
interface Round {
  readonly pool: string;
  readonly engine: EngineSpec;
  readonly demand: DemandSnapshot;
}

/** Wait after which this placer loads what a better engine of another placer has not got. */
const OTHERS_MS = 350;
/** The same where this placer would have to load from the weight store. */
const OTHERS_STORE_MS = 2_000;
/** The same for adapters. */
const OTHERS_ADAPTER_MS = 120;
const TICK_MS = 40;
/** Least time between two passes of planning. */
const PLAN_EVERY_MS = 8;
/** Time before the first order in which engines are asked what they hold. */
const PREPARE_MS = 1_200;
const ADAPTERS_IN_TRANSIT_PER_ENGINE = 4;
/** Requests a second from which a model is kept on a second engine. */
const RATE_FOR_TWO = 6;
const BUSY_REPLICAS = 2;
/** Part of the engines that may load from the weight store ahead of demand, before there is any. */
const AHEAD_PART_IDLE = 0.5;
/** The same once requests come: an engine that loads for long can change nothing else meanwhile. */
const AHEAD_PART_BUSY = 0.13;

/** A further replica may push out only what is asked for less. */
const isWorthReplicating = (
  plan: PlannedLoad,
  rate: number,
  rates: ReadonlyMap<string, number>,
): boolean => plan.evictions.every(({ model }) => (rates.get(model) ?? 0) * 2 < rate);

/** Decides what is loaded where, while this instance has the authority. */
class Placer {
  private readonly desk: EngineDesk;

  private readonly permits: StorePermits;

  private readonly putOffLog: PutOffLog;

  private passContext:
    { readonly round: Round; readonly context: ReturnType<Placer['modelContext']> } | undefined;

  private stopped = false;

  private isPlanSoon = false;

  private plannedMs = -Infinity;

  constructor(
    private readonly options: Options,
    private readonly parts: Parts,
  ) {
    this.permits = new StorePermits(parts.clock, () => ({
      perS: Math.max(0, ...this.pools.map(([, engine]) => engine.maxStoreLoadsPerS)),
      windowMs: options.weightStoreWindowMs,
      atOnce: Math.max(
        1,
        Math.floor(options.maxConcurrentStoreLoads / parts.activeDomains().length),
      ),
    }));
    this.desk = new EngineDesk(parts, this.permits, () => this.schedulePlanning());
    this.putOffLog = new PutOffLog(parts, {
      own: (pool) => this.ownViews(pool),
      engineOf: (view) => this.desk.engineOf(view),
    });
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      const { authority } = this.parts;
      if (authority.isHeld()) this.schedulePlanning();
      else if (authority.isHeldWithin(PREPARE_MS)) this.prepare();
      else this.desk.clear();
      await this.parts.clock.sleep(TICK_MS);
    }
  }

  /** Asks the engines what they hold, before orders may be given. */
  private prepare(): void {
    this.pools.forEach(([pool]) => {
      this.ownViews(pool).forEach((view) => this.desk.engineOf(view).orders.isKnown);
    });
  }

  stop(): void {
    this.stopped = true;
  }

  /** Plans soon, after news that a request waits or an engine is free. */
  schedulePlanning(): void {
    if (this.isPlanSoon || !this.parts.authority.isHeld()) return;
    this.isPlanSoon = true;
    const sinceMs = this.parts.clock.nowMs() - this.plannedMs;
    setTimeout(
      () => {
        this.isPlanSoon = false;
        this.plannedMs = this.parts.clock.nowMs();
        if (!this.parts.authority.isHeld()) return;
        this.pools.forEach(([pool, engine]) => this.planPool(pool, engine));
      },
      Math.max(0, PLAN_EVERY_MS - sinceMs),
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
    const round: Round = { pool, engine, demand };
    demand.waiting.forEach(({ model, adapter, waitedMs }) => {
      if (!engine.models.has(model)) return;
      const holding = this.parts.table
        .holding(pool, model, null)
        .filter(({ entry }) => !demand.unreachable.has(entry.id));
      if (holding.length === 0) {
        this.loadWaiting(round, model, waitedMs);
      } else if (adapter !== null) {
        this.loadAdapter(round, model, adapter, holding, waitedMs >= OTHERS_ADAPTER_MS);
      }
      this.remind(round, model, adapter);
    });
    this.replicate(round);
    this.fetchAhead(round);
  }

  /** Tells instances that wait for what is present where it is, in case a datagram was lost. */
  private remind({ pool, demand }: Round, model: string, adapter: string | null): void {
    const holding = this.own(this.parts.table.holding(pool, model, adapter));
    if (holding.length === 0) return;
    const updates = holding.map((view) => this.desk.engineOf(view).orders.describe());
    const instances = demand.instances.get(assetId(model, adapter)) ?? [];
    instances.forEach((instance) => this.parts.publish(updates, instance));
  }

  private loadWaiting(round: Round, model: string, waitedMs: number): void {
    if (this.isComing(round.pool, model)) return;
    const context = this.contextOf(round);
    const spec = round.engine.models.get(model)!;
    const everywhere = { ...context, free: [...context.free, ...this.freeElsewhere(round)] };
    const best = planModel(spec, everywhere, 'waiting');
    const isOwn = best !== undefined && this.own([best.view]).length > 0;
    if (isOwn) {
      this.carryOut(best);
      return;
    }
    // The placer of a better engine sees the same and is left to it, for a while.
    const second = planModel(spec, context, 'waiting');
    const patienceMs = second?.fromStore ? OTHERS_STORE_MS : OTHERS_MS;
    if (second !== undefined && waitedMs >= patienceMs) this.carryOut(second);
    else this.putOffLog.note({ round, model, waitedMs, best, second, context });
  }

  private isComing(pool: string, model: string): boolean {
    const nowMs = this.parts.clock.nowMs();
    const isOwn = this.desk.all.some(({ loading }) => loading === model);
    const views = this.parts.table.inService(pool);
    return isOwn || views.some((view) => view.loading === model && view.busyUntilMs > nowMs);
  }

  private own(views: readonly TargetView[]): readonly TargetView[] {
    return views.filter(({ entry }) => entry.failureDomain === this.options.failureDomain);
  }

  private ownViews(pool: string): readonly TargetView[] {
    return this.own(this.parts.table.inService(pool));
  }

  /** Engines of other placers that are at work, as far as these have told of no change under way. */
  private freeElsewhere({ pool, demand }: Round): readonly TargetView[] {
    const nowMs = this.parts.clock.nowMs();
    const active = new Set(this.parts.activeDomains());
    active.delete(this.options.failureDomain);
    return this.parts.table
      .inService(pool)
      .filter(({ entry }) => active.has(entry.failureDomain) && !demand.unreachable.has(entry.id))
      .filter(({ busyUntilMs }) => busyUntilMs <= nowMs);
  }

  /** Whether a choice that any placer could make falls to this one. */
  private isMine(key: string, domains: readonly string[]): boolean {
    return rendezvousOrder(key, domains)[0] === this.options.failureDomain;
  }

  private loadAdapter(
    { pool, engine, demand }: Round,
    model: string,
    adapter: string,
    holding: readonly TargetView[],
    isUrgent: boolean,
  ): void {
    const asset = assetId(model, adapter);
    if (this.parts.table.holding(pool, model, adapter).length > 0) return;
    const isComing = this.desk.all.some(({ adaptersComing }) => adaptersComing.has(asset));
    const active = new Set(this.parts.activeDomains());
    const domains = holding
      .map(({ entry }) => entry.failureDomain)
      .filter((one) => active.has(one));
    if (isComing || (!isUrgent && !this.isMine(asset, domains))) return;
    const plan = planAdapter(model, adapter, {
      engine,
      holding: this.own(holding)
        .filter((view) => {
          const own = this.desk.engineOf(view);
          return !own.isBusy && own.orders.isKnown;
        })
        .map((view) => this.booked(view)),
      ratesByAsset: demand.assetRates,
      wanted: new Set(demand.waiting.map((one) => assetId(one.model, one.adapter))),
      running: (id, ofModel, ofAdapter) =>
        demand.running.get(id)?.get(assetId(ofModel, ofAdapter)) ?? 0,
      inTransit: (id) => this.desk.get(id)?.adaptersComing.size ?? 0,
      inTransitLimit: ADAPTERS_IN_TRANSIT_PER_ENGINE,
    });
    if (plan !== undefined) this.carryOut(plan);
  }

  /** Gives busy models a further replica. */
  private replicate(round: Round): void {
    const { pool, engine, demand } = round;
    [...demand.modelRates]
      .filter(([model, rate]) => rate >= RATE_FOR_TWO && engine.models.has(model))
      .sort(([, one], [, other]) => other - one)
      .forEach(([model, rate]) => {
        const present = this.parts.table.holding(pool, model, null);
        if (present.length >= BUSY_REPLICAS || this.isComing(pool, model)) return;
        const domains = new Set(present.map(({ entry }) => entry.failureDomain));
        const active = this.parts.activeDomains();
        const others = active.filter((domain) => !domains.has(domain));
        if (!this.isMine(model, others.length > 0 ? others : active)) return;
        const context = this.contextOf(round);
        const spec = engine.models.get(model)!;
        const plan = planModel(spec, { ...context, storeIsFree: false }, 'busy');
        if (plan !== undefined && isWorthReplicating(plan, rate, demand.modelRates)) {
          this.carryOut(plan);
        }
      });
  }

  /** Fetches models of which no engine has a copy, so that a later load is short. */
  private fetchAhead(round: Round): void {
    const { pool, engine, demand } = round;
    const views = this.parts.table.inService(pool);
    const ownViews = this.own(views);
    const busy = ownViews.filter((view) => this.desk.engineOf(view).isBusy).length;
    const part = demand.modelRates.size === 0 ? AHEAD_PART_IDLE : AHEAD_PART_BUSY;
    if (busy >= ownViews.length * part || !this.permits.isFree) return;
    const copied = new Set(
      views.flatMap(({ entry, models }) => [...entry.inMemory, ...entry.onDisk, ...models.keys()]),
    );
    const active = this.parts.activeDomains();
    const missing = [...engine.models.values()].find(
      ({ name }) => !copied.has(name) && this.isMine(name, active) && !this.isComing(pool, name),
    );
    if (missing === undefined) return;
    const plan = planModel(missing, this.contextOf(round), 'ahead');
    if (plan !== undefined) this.carryOut(plan);
  }

  private carryOut(plan: PlannedLoad): void {
    this.passContext = undefined;
    void this.desk.carryOut(plan);
  }

  /** What plans of a pass go by; the same until a load is ordered. */
  private contextOf(round: Round): ReturnType<Placer['modelContext']> {
    if (this.passContext?.round !== round) {
      this.passContext = { round, context: this.modelContext(round) };
    }
    return this.passContext.context;
  }

  private modelContext({ pool, engine, demand }: Round) {
    const { table, clock } = this.parts;
    const nowMs = clock.nowMs();
    const views = table.inService(pool).map((view) => this.booked(view));
    const own = this.own(views);
    const free = own.filter((view) => {
      const { isBusy, adaptersComing, avoidUntilMs, orders } = this.desk.engineOf(view);
      const isIdle = !isBusy && adaptersComing.size === 0;
      const isSound = avoidUntilMs <= nowMs && !demand.unreachable.has(view.entry.id);
      return isIdle && isSound && orders.isKnown;
    });
    const outlook = { nowMs, engineOf: (id: string) => this.desk.get(id) };
    const engines = { all: views, own: own.length, free: free.length };
    const replicas = new Map<string, number>();
    views.forEach(({ models }) =>
      models.forEach((_, model) => replicas.set(model, (replicas.get(model) ?? 0) + 1)),
    );
    return {
      engine,
      free,
      replicas,
      rates: demand.modelRates,
      wanted: new Set(demand.waiting.map(({ model }) => model)),
      running: (id: string, model: string) => demand.running.get(id)?.get(model) ?? 0,
      storeIsFree: this.permits.isFree && mayLoadLong(engines, demand.waiting, outlook),
      hasCopyElsewhere: (id: string, model: string) =>
        views.some(
          ({ entry, models }) => entry.id !== id && (models.has(model) || hasCopy(entry, model)),
        ),
      copyIsSoon: (model: string) => copyIsSoon(views, engine.models.get(model), outlook),
      residentMs: (id: string, model: string) =>
        nowMs - (this.desk.get(id)?.since.get(model) ?? -Infinity),
    };
  }

  /** An engine of this placer as its own book has it. */
  private booked(view: TargetView): TargetView {
    return this.own([view]).length > 0 ? this.desk.engineOf(view).orders.viewOf(view) : view;
  }
}

export default Placer;
