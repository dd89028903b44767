import type { Clock } from '@wisteriapath/model';
import type Authority from './Authority';
import assetId from './assetId';
import isEnding from './isEnding';
import orderFields from './orderFields';
import type EngineControl from './EngineControl';
import EngineOrderExecutor from './EngineOrderExecutor';
import type EventLog from './EventLog';
import OrderKind from './OrderKind';
import type PlacementUpdate from './PlacementUpdate';
import type PlannedLoad from './PlannedLoad';
import type StoreLoadLimiter from './StoreLoadLimiter';
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

/** The state of one engine that this placer orders. */
interface Engine {
  readonly executor: EngineOrderExecutor;
  readonly bornMs: number;
  /** Model that is being loaded. */
  loading: string | null;
  /** Whether a planned load of a model, with its evictions, is in progress. */
  isBusy: boolean;
  /** When the change in progress is expected to end. */
  busyUntilMs: number;
  readonly loadingAdapters: Set<string>;
  /** When each model, or an adapter of it, was last loaded. */
  readonly loadedMs: Map<string, number>;
  /** Until when the engine gets no further load, after a failed order. */
  avoidUntilMs: number;
}

/** Time for which an engine gets no further load after a failed order. */
const AVOID_AFTER_FAILURE_MS = 1_000;

/** Sends the unloads and the load of a plan; resolves with false if one of them failed. */
const executeOrders = async (
  executor: EngineOrderExecutor,
  plan: PlannedLoad,
): Promise<boolean> => {
  for (const { model, adapter } of plan.evictions) {
    const isUnloaded = await executor.applyChange({ kind: OrderKind.Unload, model, adapter }, 0);
    if (!isUnloaded) return false;
  }
  const { model, adapter, expectedMs } = plan;
  return executor.applyChange({ kind: OrderKind.Load, model, adapter }, expectedMs);
};

/** The engines that a placer orders, with the changes in progress at each. */
class EngineRegistry {
  private readonly engines = new Map<string, Engine>();

  /** When the first engine was looked at under this authority: earlier holders have given their last orders. */
  private sinceMs: number | undefined;

  constructor(
    private readonly parts: Parts,
    private readonly storeLimiter: StoreLoadLimiter,
    /** Called when a planned load has ended, whether or not it succeeded. */
    private readonly onEngineFree: () => void,
  ) {}

  get all(): readonly Engine[] {
    return [...this.engines.values()];
  }

  get(id: string): Engine | undefined {
    return this.engines.get(id);
  }

  /**
   * Returns the time until a load of a model under way ends, undefined if there is none. What is loaded on an engine that is about to
   * end is lost with it, so it does not count.
   */
  loadEndsInMs(model: string): number | undefined {
    const nowMs = this.parts.clock.nowMs();
    const endsInMs = [...this.engines]
      .filter(([id, { loading }]) => loading === model && !isEnding(this.parts.table.get(id)))
      .map(([, { busyUntilMs }]) => Math.max(0, busyUntilMs - nowMs));
    return endsInMs.length === 0 ? undefined : Math.min(...endsInMs);
  }

  /** Removes every engine, because the authority has ended. */
  clear(): void {
    this.engines.clear();
    this.sinceMs = undefined;
  }

  /** Returns the state of an engine, and creates it at first use and after each restart of the engine. */
  engineOf(view: TargetView): Engine {
    const { id, bornMs } = view.entry;
    const known = this.engines.get(id);
    if (known !== undefined && known.bornMs === bornMs) return known;
    this.sinceMs ??= this.parts.clock.nowMs();
    const engine: Engine = {
      executor: new EngineOrderExecutor(this.parts, view, this.sinceMs),
      bornMs,
      loading: null,
      isBusy: false,
      busyUntilMs: 0,
      loadingAdapters: new Set(),
      loadedMs: new Map(),
      avoidUntilMs: 0,
    };
    this.engines.set(id, engine);
    return engine;
  }

  /** Executes a planned load; resolves when it has ended, whether or not it succeeded. */
  async execute(plan: PlannedLoad): Promise<void> {
    const { view, model, adapter, evictions, fromStore, reason, order = null } = plan;
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
      ...orderFields(order),
    });
    const release = fromStore ? this.storeLimiter.acquire() : () => {};
    const busyUntilMs = clock.nowMs() + plan.expectedMs;
    try {
      if (adapter === null) {
        Object.assign(engine, { isBusy: true, loading: model, busyUntilMs });
        engine.executor.announceLoading(model, plan.expectedMs, fromStore);
      } else engine.loadingAdapters.add(asset);
      const isDone = await executeOrders(engine.executor, plan);
      if (isDone) engine.loadedMs.set(model, clock.nowMs());
      else engine.avoidUntilMs = clock.nowMs() + AVOID_AFTER_FAILURE_MS;
    } finally {
      release();
      engine.loadingAdapters.delete(asset);
      if (adapter === null) {
        Object.assign(engine, { isBusy: false, loading: null });
        engine.executor.announceLoading(null, 0, false);
      }
    }
    this.onEngineFree();
  }
}

export default EngineRegistry;
