import type { Clock } from '@wisteriapath/model';
import type Authority from './Authority';
import assetId from './assetId';
import type EngineControl from './EngineControl';
import EngineOrders from './EngineOrders';
import type EventLog from './EventLog';
import OrderKind from './OrderKind';
import type PlacementUpdate from './PlacementUpdate';
import type PlannedLoad from './PlannedLoad';
import type StorePermits from './StorePermits';
import type TargetTable from './TargetTable';
import type TargetView from './TargetView';

interface Parts {
  readonly clock: Clock;
  readonly authority: Authority;
  readonly control: EngineControl;
  readonly table: TargetTable;
  readonly log: EventLog;
  readonly publish: (updates: readonly PlacementUpdate[], instance?: string) => void;
}

interface Engine {
  readonly orders: EngineOrders;
  readonly bornMs: number;
  /** Model that is being loaded. */
  loading: string | null;
  isBusy: boolean;
  /** When the change under way is expected to end. */
  busyUntilMs: number;
  readonly adaptersComing: Set<string>;
  readonly since: Map<string, number>;
  avoidUntilMs: number;
}

/** Time for which an engine that failed an order gets no other. */
const AVOID_MS = 1_000;

/** Carries out the orders of a plan; false if one could not be had. */
const perform = async (orders: EngineOrders, plan: PlannedLoad): Promise<boolean> => {
  for (const { model, adapter } of plan.evictions) {
    const left = await orders.change({ kind: OrderKind.Unload, model, adapter }, 0);
    if (!left) return false;
  }
  const { model, adapter, expectedMs } = plan;
  return orders.change({ kind: OrderKind.Load, model, adapter }, expectedMs);
};

/** The engines that a placer orders, and what is under way at each. */
class EngineDesk {
  private readonly engines = new Map<string, Engine>();

  constructor(
    private readonly parts: Parts,
    private readonly permits: StorePermits,
    /** Called when an engine is free again. */
    private readonly freed: () => void,
  ) {}

  get all(): readonly Engine[] {
    return [...this.engines.values()];
  }

  get(id: string): Engine | undefined {
    return this.engines.get(id);
  }

  /** Forgets every engine, as the authority has ended. */
  clear(): void {
    this.engines.clear();
  }

  /** An engine, known anew after each of its starts. */
  engineOf(view: TargetView): Engine {
    const { id, bornMs } = view.entry;
    const known = this.engines.get(id);
    if (known !== undefined && known.bornMs === bornMs) return known;
    const engine: Engine = {
      orders: new EngineOrders(this.parts, view),
      bornMs,
      loading: null,
      isBusy: false,
      busyUntilMs: 0,
      adaptersComing: new Set(),
      since: new Map(),
      avoidUntilMs: 0,
    };
    this.engines.set(id, engine);
    return engine;
  }

  /** Carries out a planned load. */
  async carryOut(plan: PlannedLoad): Promise<void> {
    const { view, model, adapter, evictions, fromStore, reason } = plan;
    const engine = this.engineOf(view);
    const asset = assetId(model, adapter);
    const leaving = evictions.map((one) => assetId(one.model, one.adapter)).join(',');
    const { log, clock, authority } = this.parts;
    log.event('load_decided', {
      engine: view.entry.id,
      model,
      adapter: adapter ?? '',
      leaving,
      reason,
      from_store: fromStore,
      fence: authority.fence,
      in_memory: view.entry.inMemory.size,
      on_disk: view.entry.onDisk.size,
    });
    const release = fromStore ? this.permits.take() : () => {};
    const busyUntilMs = clock.nowMs() + plan.expectedMs;
    if (adapter === null) {
      Object.assign(engine, { isBusy: true, loading: model, busyUntilMs });
      engine.orders.announce(model, plan.expectedMs);
    } else engine.adaptersComing.add(asset);
    try {
      const isDone = await perform(engine.orders, plan);
      if (isDone) engine.since.set(model, clock.nowMs());
      else engine.avoidUntilMs = clock.nowMs() + AVOID_MS;
    } finally {
      release();
      engine.adaptersComing.delete(asset);
      if (adapter === null) {
        Object.assign(engine, { isBusy: false, loading: null });
        engine.orders.announce(null, 0);
      }
    }
    this.freed();
  }
}

export default EngineDesk;
