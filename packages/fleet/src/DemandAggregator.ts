import type { Clock } from '@wisteriapath/model';
import assetId from './assetId';
import type Demand from './Demand';
import type DemandReport from './DemandReport';
import type DemandSnapshot from './DemandSnapshot';
import TargetSpeeds from './TargetSpeeds';
import type TargetTable from './TargetTable';
import hasOrder from './hasOrder';
import leastSlackMs from './leastSlackMs';

interface ReceivedReport {
  readonly report: DemandReport;
  readonly receivedMs: number;
}

type Totals = Pick<DemandSnapshot, 'modelRates' | 'deferrableRates' | 'assetRates' | 'running'>;

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

/** Returns the order of two demands together; none if one of them has none, so that it is ranked by its other fields. */
const mergeOrder = (one: Demand, other: Demand): Pick<Demand, 'priority' | 'slackMs'> => {
  if (!hasOrder(one) || !hasOrder(other)) return { priority: undefined, slackMs: undefined };
  return {
    priority: Math.min(one.priority, other.priority),
    slackMs: leastSlackMs([one.slackMs, other.slackMs]),
  };
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
        ...mergeOrder(one, other),
      };

/** Aggregates the demand reports of all instances for the placer. */
class DemandAggregator {
  private readonly reports = new Map<string, ReceivedReport>();

  private readonly cachedTotals = new Map<
    string,
    { readonly value: Totals; readonly computedMs: number }
  >();

  private readonly unserved = new Map<string, Unserved>();

  /** The speeds of targets by all reports; undefined if no table of targets was given. */
  readonly speeds: TargetSpeeds | undefined;

  constructor(
    private readonly clock: Clock,
    table?: Pick<TargetTable, 'get' | 'allTargets'>,
  ) {
    this.speeds = table && new TargetSpeeds(clock, table);
  }

  /** Stores a report, in place of the previous one of the same instance. */
  record(report: DemandReport): void {
    this.reports.set(report.instance, { report, receivedMs: this.clock.nowMs() });
    if (report.targets !== undefined) this.speeds?.record(report.targets);
  }

  /** Number of instances whose rates and running requests are known. */
  get reportingInstances(): number {
    return this.recentReports(RATES_MAX_AGE_MS).length;
  }

  /** Returns the demand for the models of a pool. */
  snapshot(pool: string): DemandSnapshot {
    const merged = new Map<string, Demand>();
    const waitingInstances = new Map<string, string[]>();
    this.recent(WAITING_MAX_AGE_MS).forEach(({ report: { instance, waiting }, receivedMs }) => {
      const ageMs = this.clock.nowMs() - receivedMs;
      waiting.forEach((reported) => {
        if (reported.pool !== pool) return;
        const demand = hasOrder(reported)
          ? { ...reported, slackMs: reported.slackMs - ageMs }
          : reported;
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

  private sumRates(pool: string): Omit<Totals, 'running'> {
    const modelRates = new Map<string, number>();
    const deferrableRates = new Map<string, number>();
    const assetRates = new Map<string, number>();
    this.recentReports(RATES_MAX_AGE_MS).forEach((report) => {
      (report.deferrableRates ?? []).forEach(([ofPool, model, , rate]) => {
        if (ofPool === pool) addCount(deferrableRates, model, rate);
      });
      const { rates } = report;
      rates.forEach(([ofPool, model, adapter, rate]) => {
        if (ofPool !== pool) return;
        addCount(modelRates, model, rate);
        addCount(assetRates, assetId(model, adapter === '' ? null : adapter), rate);
      });
    });
    return { modelRates, deferrableRates, assetRates };
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
    return this.recent(withinMs).map(({ report }) => report);
  }

  private recent(withinMs: number): readonly ReceivedReport[] {
    const sinceMs = this.clock.nowMs() - withinMs;
    return [...this.reports.values()].filter(({ receivedMs }) => receivedMs >= sinceMs);
  }
}

export default DemandAggregator;
