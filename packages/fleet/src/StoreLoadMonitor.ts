import type { Clock } from '@wisteriapath/model';
import type EventLog from './EventLog';
import type ModelSpec from './ModelSpec';
import type TargetView from './TargetView';

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
}

/** A load from the weight store that is under way, at an engine of any placer. */
interface Load {
  readonly model: string;
  readonly bornMs: number;
  readonly startedMs: number;
  readonly expectedMs: number;
  /** Loads that were under way when it began, itself included. */
  readonly concurrency: number;
}

/** Time, in multiples of the expected one, after which a load of which nothing was heard counts as ended. */
const FORGOTTEN_FACTOR = 4;
/** Time, in multiples of the expected one, from which a load was slow. */
const SLOW_FACTOR = 1.2;
/** Slow loads in a row from which the limit is learned: a single one may have been ordered late. */
const MIN_SLOW_LOADS = 2;
const MAX_SLOW_LOADS = 5;
/** Loads at full speed in a row, at the limit, after which it is raised by one. */
const FAST_LOADS_TO_RAISE = 6;
/** Time after a slow load in which the limit is not raised. */
const RAISE_PAUSE_MS = 120_000;

const upperMedian = (values: readonly number[]): number =>
  [...values].sort((one, other) => one - other)[Math.floor(values.length / 2)];

/**
 * Watches the loads from the weight store of all placers, and learns from their times how many at once the store serves
 * at full speed: beyond that each takes longer, and none ends earlier.
 */
class StoreLoadMonitor {
  private readonly loads = new Map<string, Load>();

  private limit: number;

  /** Concurrency that the last slow loads in a row imply. */
  private slow: number[] = [];

  private fastCount = 0;

  private lastSlowMs = -Infinity;

  constructor(
    private readonly parts: Parts,
    /** Number of loads at once that is assumed at first, and never exceeded. */
    private readonly maxLimit: number,
  ) {
    this.limit = maxLimit;
  }

  /** Number of loads that may start now without slowing down those under way. */
  get freeSlots(): number {
    return Math.max(0, this.limit - this.loads.size);
  }

  /** Takes note of what the engines of all pools are loading. */
  observe(
    views: readonly TargetView[],
    specOf: (pool: string, model: string) => ModelSpec | undefined,
  ): void {
    const nowMs = this.parts.clock.nowMs();
    const viewById = new Map(views.map((view) => [view.entry.id, view]));
    this.loads.forEach((load, id) => this.endIfOver(load, id, viewById.get(id)));
    views.forEach(({ entry, loading, isLoadFromStore }) => {
      const spec = loading === null ? undefined : specOf(entry.pool, loading);
      if (spec === undefined || !isLoadFromStore || this.loads.has(entry.id)) return;
      this.loads.set(entry.id, {
        model: spec.name,
        bornMs: entry.bornMs,
        startedMs: nowMs,
        expectedMs: spec.storeLoadMs,
        concurrency: this.loads.size + 1,
      });
    });
  }

  private endIfOver(load: Load, id: string, view: TargetView | undefined): void {
    const tookMs = this.parts.clock.nowMs() - load.startedMs;
    const isSameStart = view?.entry.bornMs === load.bornMs;
    const isUnderWay = isSameStart && view.isLoadFromStore && view.loading === load.model;
    if (isUnderWay && tookMs < load.expectedMs * FORGOTTEN_FACTOR) return;
    this.loads.delete(id);
    if (isSameStart && view.models.has(load.model)) this.learn(load, tookMs);
  }

  private learn({ model, expectedMs, concurrency }: Load, tookMs: number): void {
    const slowdown = tookMs / Math.max(1, expectedMs);
    const before = this.limit;
    if (slowdown >= SLOW_FACTOR) {
      this.fastCount = 0;
      this.lastSlowMs = this.parts.clock.nowMs();
      this.slow = [...this.slow, concurrency / slowdown].slice(-MAX_SLOW_LOADS);
      const implied = Math.max(1, Math.round(upperMedian(this.slow)));
      if (this.slow.length >= MIN_SLOW_LOADS) this.limit = Math.min(this.limit, implied);
    } else {
      this.slow = [];
      this.fastCount = concurrency >= this.limit ? this.fastCount + 1 : 0;
      const isSettled = this.parts.clock.nowMs() - this.lastSlowMs >= RAISE_PAUSE_MS;
      if (this.fastCount >= FAST_LOADS_TO_RAISE && isSettled) {
        this.fastCount = 0;
        this.limit = Math.min(this.maxLimit, this.limit + 1);
      }
    }
    if (this.limit === before) return;
    const fields = { model, took_ms: Math.round(tookMs), expected_ms: expectedMs };
    this.parts.log.event('store_load_limit', { ...fields, limit: this.limit, before });
  }
}

export default StoreLoadMonitor;
