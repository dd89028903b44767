import type { Clock } from '@wisteriapath/model';
import type DigestRow from './DigestRow';
import type TargetRow from './TargetRow';
import type TargetTable from './TargetTable';

/** What instances reported of one life of a target. */
interface Speed {
  readonly bornMs: number;
  /** Weighted mean of the logarithms of the paces, in 0.1 ms. */
  logPace: number;
  paceWeight: number;
  /** Logarithm of the work time in slow spans, as a multiple of what is usual. */
  logWorkTime: number;
  workTimeWeight: number;
  load: number;
  atMs: number;
}

interface Rated {
  readonly id: string;
  readonly slots: number;
  readonly speed: Speed;
  /** Logarithm of the slowness at the usual work time, relative to the pool. */
  readonly logSlowness: number;
}

/** Time in which reports of the speed lose half of their weight. */
const SPEED_HALF_LIFE_MS = 10_000;
/** Time in which a reported load loses half of its weight, and age beyond which it counts for nothing. */
const LOAD_HALF_LIFE_MS = 1_000;
const LOAD_MAX_AGE_MS = 3_000;
/** Weight of the assumption that a target is as fast as usual, in reports. */
const PRIOR_WEIGHT = 0.5;
/** Weight of the reports below which a target counts as not measured. */
const MIN_WEIGHT = 0.05;
/** Ratio of two speeds that count as different where placers have to choose alike. */
const SPEED_STEP_FACTOR = 1.5;
/** Deviations from what is usual in the pool from which a target is worth telling of: a quarter slower, or of the slots in use. */
const TOLD_LOG_DEVIATION = Math.log(1.25);
const TOLD_UTILIZATION_DEVIATION = 0.25;
const HIGHER_WORK_TIME_WEIGHT = 0.5;
const LOWER_WORK_TIME_WEIGHT = 0.1;
const PACES_PER_MS = 10;
const PERCENT = 100;

const medianOf = (values: readonly number[]): number => {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

const percentOf = (logarithm: number): number =>
  Math.max(1, Math.round(Math.exp(logarithm) * PERCENT));

/** Returns the logarithm of the usual pace; undefined if no target was measured. */
const usualLogPace = (speeds: readonly Speed[]): number | undefined => {
  const measured = speeds.filter(({ paceWeight }) => paceWeight > 0);
  return measured.length === 0 ? undefined : medianOf(measured.map(({ logPace }) => logPace));
};

/**
 * Joins the work time of slow spans with that of one more report. An instance whose stream met no slow span reports less, so that a
 * lower value counts for less than a higher one.
 */
const joinWorkTimes = (known: number, reported: number): number =>
  known +
  (reported - known) * (reported > known ? HIGHER_WORK_TIME_WEIGHT : LOWER_WORK_TIME_WEIGHT);

/** Joins what all instances report of the speed and load of targets, at a placer. */
class TargetSpeeds {
  private readonly speeds = new Map<string, Speed>();

  constructor(
    private readonly clock: Clock,
    private readonly table: Pick<TargetTable, 'get' | 'allTargets'>,
  ) {}

  /** Adds the rows of one report; ignores those of targets that are not registered or have started anew. */
  record(rows: readonly TargetRow[]): void {
    const nowMs = this.clock.nowMs();
    rows.forEach(([id, pace, load, workTime, bornMs]) => {
      if (this.table.get(id)?.entry.bornMs !== bornMs) return;
      const known = this.currentOf(id);
      const kept = known === undefined ? 0 : this.weightLeft(known);
      const paceKept = (known?.paceWeight ?? 0) * kept;
      const workTimeKept = (known?.workTimeWeight ?? 0) * kept;
      const isMeasured = pace > 0;
      const logPace = isMeasured ? Math.log(pace) : 0;
      const paceWeight = paceKept + Number(isMeasured);
      const logWorkTime = Math.log(workTime / PERCENT);
      this.speeds.set(id, {
        bornMs,
        logPace: paceWeight === 0 ? 0 : ((known?.logPace ?? 0) * paceKept + logPace) / paceWeight,
        paceWeight,
        logWorkTime:
          known === undefined ? logWorkTime : joinWorkTimes(known.logWorkTime, logWorkTime),
        workTimeWeight: workTimeKept + 1,
        load,
        atMs: nowMs,
      });
    });
  }

  /** Whether anything is known of the targets of a pool. */
  isKnown(pool: string): boolean {
    return [...this.speeds.keys()].some((id) => this.table.get(id)?.entry.pool === pool);
  }

  /**
   * Returns the speeds of the targets of a pool, for planning: in coarse steps, 0 for what is usual and more for slower, and the time
   * between two events of a usual model in slow spans.
   */
  ratingsOf(
    pool: string,
  ): ReadonlyMap<string, { readonly step: number; readonly gapMs: number | undefined }> {
    const rated = this.rate(pool);
    const usual = usualLogPace(rated.map(({ speed }) => speed));
    return new Map(
      rated.map(({ id, speed, logSlowness }) => {
        const total = logSlowness + this.shrunkWorkTime(speed);
        const gapMs = usual === undefined ? undefined : Math.exp(usual + total) / PACES_PER_MS;
        return [id, { step: Math.round(total / Math.log(SPEED_STEP_FACTOR)), gapMs }];
      }),
    );
  }

  /** The targets of all pools that deviate from what is usual, as far as reports still count, the largest deviation first. */
  get digest(): readonly DigestRow[] {
    const pools = new Set(this.table.allTargets().map(({ entry }) => entry.pool));
    const deviations = [...pools].flatMap((pool) => {
      const rated = this.rate(pool);
      const utilizations = rated.map(({ speed, slots }) => this.loadNow(speed) / slots);
      const usualUtilization = medianOf(utilizations);
      return rated.map(({ id, speed, logSlowness }, index) => {
        const logWorkTime = this.shrunkWorkTime(speed);
        const ofSpeed = Math.abs(logSlowness + logWorkTime) / TOLD_LOG_DEVIATION;
        const ofLoad =
          Math.abs(utilizations[index] - usualUtilization) / TOLD_UTILIZATION_DEVIATION;
        const load = Math.round(this.loadNow(speed));
        const row: DigestRow = [
          id,
          percentOf(logSlowness),
          load,
          percentOf(logWorkTime),
          speed.bornMs,
        ];
        return { row, deviation: Math.max(ofSpeed, ofLoad) };
      });
    });
    return deviations
      .filter(({ deviation }) => deviation >= 1)
      .sort((one, other) => other.deviation - one.deviation)
      .map(({ row }) => row);
  }

  /** Drops the state of all targets except the given ones. */
  retain(ids: ReadonlySet<string>): void {
    this.speeds.forEach((_, id) => {
      if (!ids.has(id)) this.speeds.delete(id);
    });
  }

  private rate(pool: string): readonly Rated[] {
    const known = [...this.speeds.keys()].flatMap((id) => {
      const entry = this.table.get(id)?.entry;
      const speed = this.currentOf(id);
      return entry?.pool === pool && speed !== undefined
        ? [{ id, slots: Math.max(1, entry.slots), speed }]
        : [];
    });
    const usual = usualLogPace(known.map(({ speed }) => speed));
    return known.map((one) => {
      const weight = one.speed.paceWeight * this.weightLeft(one.speed);
      const isMeasured = usual !== undefined && weight >= MIN_WEIGHT;
      const logSlowness = isMeasured
        ? ((one.speed.logPace - usual) * weight) / (weight + PRIOR_WEIGHT)
        : 0;
      return { ...one, logSlowness };
    });
  }

  private shrunkWorkTime(speed: Speed): number {
    const weight = speed.workTimeWeight * this.weightLeft(speed);
    return (speed.logWorkTime * weight) / (weight + PRIOR_WEIGHT);
  }

  private loadNow({ load, atMs }: Speed): number {
    const ageMs = this.clock.nowMs() - atMs;
    return ageMs > LOAD_MAX_AGE_MS ? 0 : load * 0.5 ** (ageMs / LOAD_HALF_LIFE_MS);
  }

  private weightLeft({ atMs }: Speed): number {
    return 0.5 ** ((this.clock.nowMs() - atMs) / SPEED_HALF_LIFE_MS);
  }

  private currentOf(id: string): Speed | undefined {
    const speed = this.speeds.get(id);
    return speed?.bornMs === this.table.get(id)?.entry.bornMs ? speed : undefined;
  }
}

export default TargetSpeeds;
