import type { Clock } from '@wisteriapath/model';
import assetId from './assetId';
import type Demand from './Demand';
import type DemandReport from './DemandReport';
import type DemandSnapshot from './DemandSnapshot';

interface ReceivedReport {
  readonly report: DemandReport;
  readonly receivedMs: number;
}

type Totals = Pick<DemandSnapshot, 'modelRates' | 'assetRates' | 'running'>;

/** Age up to which the waiting requests and unreachable engines in a report count. */
const WAITING_MAX_AGE_MS = 700;
/** Age up to which the rates and running requests in a report count. */
const RATES_MAX_AGE_MS = 3_000;
/** Time for which totals over all instances are cached. */
const TOTALS_CACHE_MS = 40;
/** Time without demand after which a model counts as served. */
const UNSERVED_TIMEOUT_MS = 6_000;

/** Since when a model has been asked for without being loaded. */
interface Unserved {
  readonly sinceMs: number;
  lastMs: number;
}

const addCount = (counts: Map<string, number>, key: string, count: number): void => {
  counts.set(key, (counts.get(key) ?? 0) + count);
};

const mergeDemand = (one: Demand, other: Demand | undefined): Demand =>
  other === undefined
    ? one
    : {
        ...one,
        waiting: one.waiting + other.waiting,
        waitedMs: Math.max(one.waitedMs, other.waitedMs),
        latencyTargetMs: Math.min(one.latencyTargetMs, other.latencyTargetMs),
        leftMs: Math.max(one.leftMs ?? Infinity, other.leftMs ?? Infinity),
      };

/** Aggregates the demand reports of all instances for the placer. */
class DemandAggregator {
  private readonly reports = new Map<string, ReceivedReport>();

  private readonly cachedTotals = new Map<
    string,
    { readonly value: Totals; readonly computedMs: number }
  >();

  private readonly unserved = new Map<string, Unserved>();

  constructor(private readonly clock: Clock) {}

  /** Stores a report, in place of the previous one of the same instance. */
  record(report: DemandReport): void {
    this.reports.set(report.instance, { report, receivedMs: this.clock.nowMs() });
  }

  /** Number of instances whose rates and running requests are known. */
  get reportingInstances(): number {
    return this.recentReports(RATES_MAX_AGE_MS).length;
  }

  /** Returns the demand for the models of a pool. */
  snapshot(pool: string): DemandSnapshot {
    const merged = new Map<string, Demand>();
    const waitingInstances = new Map<string, string[]>();
    this.recentReports(WAITING_MAX_AGE_MS).forEach(({ instance, waiting }) => {
      waiting.forEach((demand) => {
        if (demand.pool !== pool) return;
        const asset = assetId(demand.model, demand.adapter);
        merged.set(asset, mergeDemand(demand, merged.get(asset)));
        waitingInstances.set(asset, [...(waitingInstances.get(asset) ?? []), instance]);
      });
    });
    const totals = this.totalsFor(pool);
    const waiting = [...merged.values()];
    const unreachable = new Set(
      this.recentReports(WAITING_MAX_AGE_MS).flatMap((report) => report.unreachable),
    );
    return { ...totals, waiting, waitingInstances, unreachable };
  }

  /** Notes that a model is being loaded, so that it no longer counts as asked for in vain. */
  recordLoad(pool: string, model: string): void {
    this.unserved.delete(`${pool}/${model}`);
  }

  /**
   * Notes that a model which no engine holds is asked for, and returns for how long it has been, also by requests that
   * were told to come back.
   */
  recordUnserved(pool: string, model: string): number {
    const nowMs = this.clock.nowMs();
    this.unserved.forEach(({ lastMs }, key) => {
      if (lastMs < nowMs - UNSERVED_TIMEOUT_MS) this.unserved.delete(key);
    });
    const key = `${pool}/${model}`;
    const known = this.unserved.get(key) ?? { sinceMs: nowMs, lastMs: nowMs };
    known.lastMs = nowMs;
    this.unserved.set(key, known);
    return nowMs - known.sinceMs;
  }

  /** Returns rates and running requests, cached because they change little between two planning passes. */
  private totalsFor(pool: string): Totals {
    const nowMs = this.clock.nowMs();
    const cached = this.cachedTotals.get(pool);
    if (cached !== undefined && nowMs - cached.computedMs < TOTALS_CACHE_MS) return cached.value;
    const value = { ...this.sumRates(pool), running: this.sumRunning() };
    this.cachedTotals.set(pool, { value, computedMs: nowMs });
    return value;
  }

  private sumRates(pool: string): Pick<DemandSnapshot, 'modelRates' | 'assetRates'> {
    const modelRates = new Map<string, number>();
    const assetRates = new Map<string, number>();
    this.recentReports(RATES_MAX_AGE_MS).forEach(({ rates }) => {
      rates.forEach(([ofPool, model, adapter, rate]) => {
        if (ofPool !== pool) return;
        addCount(modelRates, model, rate);
        addCount(assetRates, assetId(model, adapter === '' ? null : adapter), rate);
      });
    });
    return { modelRates, assetRates };
  }

  private sumRunning(): DemandSnapshot['running'] {
    const engines = new Map<string, Map<string, number>>();
    this.recentReports(RATES_MAX_AGE_MS).forEach(({ running }) => {
      running.forEach(([engine, model, adapter, count]) => {
        const counts = engines.get(engine) ?? new Map<string, number>();
        engines.set(engine, counts);
        addCount(counts, model, count);
        if (adapter !== '') addCount(counts, assetId(model, adapter), count);
      });
    });
    return engines;
  }

  private recentReports(withinMs: number): readonly DemandReport[] {
    const sinceMs = this.clock.nowMs() - withinMs;
    return [...this.reports.values()]
      .filter(({ receivedMs }) => receivedMs >= sinceMs)
      .map(({ report }) => report);
  }
}

export default DemandAggregator;
