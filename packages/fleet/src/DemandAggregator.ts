import type { Clock } from '@wisteriapath/model';
import assetId from './assetId';
import type Demand from './Demand';
import type DemandSnapshot from './DemandSnapshot';
import type DemandReport from './DemandReport';

interface Entry {
  readonly request: DemandReport;
  readonly atMs: number;
}

type Sums = Pick<DemandSnapshot, 'modelRates' | 'assetRates' | 'running'>;

/** Age up to which the word of an instance on what waits counts. */
const WAITING_FRESH_MS = 700;
/** Age up to which the word of an instance on its rates counts. */
const RATES_FRESH_MS = 3_000;
/** Time for which sums over all instances are used again. */
const SUMS_MS = 40;
/** Time that a load takes at least. */
const LEAST_LOAD_MS = 500;
/** What a request that is late already counts beside one that can be in time. */
const LATE_PART = 0.2;
/** Time after which one late request counts as much as one that can be in time. */
const AGE_FULL_MS = 8_000;
/** Time for which the requests still to come count. */
const AHEAD_S = 1;

/** What a load now gains: requests in time, those that come soon, and some for age. */
const gainOf = ({ waiting, latencyTargetMs, waitedMs }: Demand, ratePerS: number): number => {
  const isInTime = latencyTargetMs - waitedMs > LEAST_LOAD_MS;
  const now = waiting * (isInTime ? 1 : LATE_PART);
  return now + ratePerS * AHEAD_S + waitedMs / AGE_FULL_MS;
};

const add = (counts: Map<string, number>, key: string, count: number): void => {
  counts.set(key, (counts.get(key) ?? 0) + count);
};

const merge = (one: Demand, other: Demand | undefined): Demand =>
  other === undefined
    ? one
    : {
        ...one,
        waiting: one.waiting + other.waiting,
        waitedMs: Math.max(one.waitedMs, other.waitedMs),
        latencyTargetMs: Math.min(one.latencyTargetMs, other.latencyTargetMs),
      };

/** What all instances ask of the placer. */
class DemandAggregator {
  private readonly entries = new Map<string, Entry>();

  private readonly sums = new Map<string, { readonly value: Sums; readonly atMs: number }>();

  constructor(private readonly clock: Clock) {}

  record(request: DemandReport): void {
    this.entries.set(request.instance, { request, atMs: this.clock.nowMs() });
  }

  /** What is asked for a pool. */
  snapshot(pool: string): DemandSnapshot {
    const merged = new Map<string, Demand>();
    const instances = new Map<string, string[]>();
    this.fresh(WAITING_FRESH_MS).forEach(({ instance, waiting }) => {
      waiting.forEach((demand) => {
        if (demand.pool !== pool) return;
        const asset = assetId(demand.model, demand.adapter);
        merged.set(asset, merge(demand, merged.get(asset)));
        instances.set(asset, [...(instances.get(asset) ?? []), instance]);
      });
    });
    const sums = this.sumsOf(pool);
    const gains = [...merged].map(([asset, demand]) => {
      const rate = (demand.adapter === null ? sums.modelRates : sums.assetRates).get(asset) ?? 0;
      return { demand, gain: gainOf(demand, rate) };
    });
    gains.sort((one, other) => other.gain - one.gain);
    const waiting = gains.map(({ demand }) => demand);
    const unreachable = new Set(
      this.fresh(WAITING_FRESH_MS).flatMap((request) => request.unreachable),
    );
    return { ...sums, waiting, instances, unreachable };
  }

  /** Rates and requests under way, which change little between two passes of planning. */
  private sumsOf(pool: string): Sums {
    const nowMs = this.clock.nowMs();
    const known = this.sums.get(pool);
    if (known !== undefined && nowMs - known.atMs < SUMS_MS) return known.value;
    const value = { ...this.rates(pool), running: this.running() };
    this.sums.set(pool, { value, atMs: nowMs });
    return value;
  }

  private rates(pool: string): Pick<DemandSnapshot, 'modelRates' | 'assetRates'> {
    const modelRates = new Map<string, number>();
    const assetRates = new Map<string, number>();
    this.fresh(RATES_FRESH_MS).forEach(({ rates }) => {
      rates.forEach(([ofPool, model, adapter, rate]) => {
        if (ofPool !== pool) return;
        add(modelRates, model, rate);
        add(assetRates, assetId(model, adapter === '' ? null : adapter), rate);
      });
    });
    return { modelRates, assetRates };
  }

  private running(): DemandSnapshot['running'] {
    const engines = new Map<string, Map<string, number>>();
    this.fresh(RATES_FRESH_MS).forEach(({ running }) => {
      running.forEach(([engine, model, adapter, count]) => {
        const counts = engines.get(engine) ?? new Map<string, number>();
        engines.set(engine, counts);
        add(counts, model, count);
        if (adapter !== '') add(counts, assetId(model, adapter), count);
      });
    });
    return engines;
  }

  private fresh(withinMs: number): readonly DemandReport[] {
    const sinceMs = this.clock.nowMs() - withinMs;
    return [...this.entries.values()]
      .filter(({ atMs }) => atMs >= sinceMs)
      .map(({ request }) => request);
  }
}

export default DemandAggregator;
