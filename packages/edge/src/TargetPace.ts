import type { Clock } from '@wisteriapath/model';
import type { DigestRow, EventLog, TargetRow, TargetTable } from '@wisteriapath/fleet';
import type Estimate from './Estimate';
import type ExpectedPace from './ExpectedPace';
import type SharedPace from './SharedPace';
import SlowTargetLog from './SlowTargetLog';
import UsualTimes from './UsualTimes';

/** The pace of one life of a target. All values are natural logarithms of multiples of what is usual. */
interface Pace {
  readonly bornMs: number;
  readonly pool: string;
  /** Slowness in the long run at a work time of 1, learned from measurements. */
  readonly slowness: Estimate;
  slownessAtMs: number;
  /** Mean of the work times that the target reported lately. */
  meanWorkTime: number;
  lastWorkTime: number;
  workTimeAtMs: number;
  /** By how much the slowness in slow spans exceeds that in the long run. */
  peakExcess: number;
  peakAtMs: number;
  /** Requests that the target reported last. */
  requests: number;
}

/** What is usual in one pool. */
interface Usual {
  readonly gaps: UsualTimes;
  readonly firstEvents: UsualTimes;
  readonly responses: UsualTimes;
  reportedAtMs: number;
}

/** The time of one piece of work at a target. */
interface TimedWork {
  readonly model: string;
  readonly timeMs: number;
  /** Amount of work, in units that the caller chooses. */
  readonly units: number;
}

interface Blended {
  readonly value: number;
  readonly weight: number;
}

/** Variance of targets: speeds of 0.6 and 1.6 are usual. */
const TARGET_VARIANCE = 0.16;
/** Time in which half of what is known of the speed of a target that is not used is forgotten. */
const SLOWNESS_HALF_LIFE_MS = 60_000;
/** Time over which work times are averaged. */
const WORK_TIME_HALF_LIFE_MS = 3_000;
/** Least weight of one report, so that frequent reports are averaged too. */
const MIN_REPORT_WEIGHT = 0.05;
/** Time in which the last work time loses half of its weight: machines alternate in spans of some 600 ms. */
const LAST_WORK_TIME_HALF_LIFE_MS = 250;
/** Time in which a slow span loses half of its weight: a target that alternates has the next one within seconds. */
const PEAK_HALF_LIFE_MS = 20_000;
/** Weight of one measurement above the peak, and the most by which it raises the peak: it may be a delay of this process. */
const PEAK_WEIGHT = 0.5;
const MAX_PEAK_RISE = 0.4;
/** Bounds of the work times that are believed without measurement. */
const MIN_WORK_TIME = 0.5;
const MAX_WORK_TIME = 20;
/** Variance of the mean of a few gaps: the work time differs between spans of one stream. */
const GAP_NOISE = 0.15;
/** Variance of a time to a first event or response, which depends on what else runs. */
const FIRST_NOISE = 0.3;
/** Time after the last report of a work time in which a pool counts as one whose targets report it. */
const REPORTED_TIMEOUT_MS = 60_000;
/** Age beyond which what a placer told counts for nothing, and times in which it loses half of its weight before. */
const SHARED_MAX_AGE_MS = 3_000;
const SHARED_LOAD_HALF_LIFE_MS = 1_000;
const SHARED_SLOWNESS_HALF_LIFE_MS = 10_000;
/** Least weight of what was told of a slow target: to avoid it sends requests to all others, not to a single one. */
const MIN_SLOW_WEIGHT = 0.75;
const MIN_TIME_MS = 0.1;
/** Stands for a usual model where none is asked about. */
const ANY_MODEL = '';
const NO_LOG: EventLog = { event: () => {} };
/** Variance of a target below which its speed counts as measured. */
const MAX_REPORTED_VARIANCE = TARGET_VARIANCE * 0.8;
/** Units of the figures of a row: 0.1 ms and percent. */
const ROW_PACES_PER_MS = 10;
/** Units of a request without tokens, whose time stands for a gap where there are none. */
const LOG_RESPONSE_UNITS = Math.log(256);
const PERCENT = 100;

const decay = (ageMs: number, halfLifeMs: number): number => 0.5 ** (ageMs / halfLifeMs);

const blend = (own: number, other: Blended | undefined): number =>
  other === undefined ? own : own + (other.value - own) * other.weight;

/**
 * How fast targets work, as this instance measures it and as they report it: the time between events and to first
 * events relative to what is usual for the model. Answers loads where some engines are several times slower than
 * others, all the time or in spans of some hundred milliseconds. A target that started anew begins without history.
 */
class TargetPace {
  private readonly paces = new Map<string, Pace>();

  private readonly pools = new Map<string, Usual>();

  private readonly slowTargets: SlowTargetLog;

  /** What the placer told of targets. */
  private readonly shared = new Map<string, SharedPace>();

  /** Targets of which something was measured since the last report. */
  private readonly unreported = new Set<string>();

  constructor(
    private readonly clock: Clock,
    /** Tells in which life each target is. */
    private readonly table: Pick<TargetTable, 'get'>,
    private readonly random: () => number = Math.random,
    log: EventLog = NO_LOG,
  ) {
    this.slowTargets = new SlowTargetLog(clock, log);
  }

  /** Whether a response of a pool lately stated how long work takes. */
  isReported(pool: string): boolean {
    const reportedAtMs = this.pools.get(pool)?.reportedAtMs ?? -Infinity;
    return this.clock.nowMs() - reportedAtMs < REPORTED_TIMEOUT_MS;
  }

  /** Records the work time that a target reported, as a multiple of what is usual, and the number of its requests. */
  recordWorkTime(id: string, factor: number, requests = 0): void {
    const pace = this.paceOf(id);
    if (pace === undefined) return;
    const nowMs = this.clock.nowMs();
    const workTime = Math.log(Math.max(MIN_WORK_TIME, Math.min(MAX_WORK_TIME, factor)));
    const kept = Math.min(
      1 - MIN_REPORT_WEIGHT,
      decay(nowMs - pace.workTimeAtMs, WORK_TIME_HALF_LIFE_MS),
    );
    pace.meanWorkTime = workTime + (pace.meanWorkTime - workTime) * kept;
    Object.assign(pace, { lastWorkTime: workTime, workTimeAtMs: nowMs, requests });
    this.unreported.add(id);
    this.raisePeak(pace, pace.slowness.mean + workTime);
    this.usualIn(pace.pool).reportedAtMs = nowMs;
    this.logBelief(id);
  }

  /** Records the mean time between a few successive events of a stream. */
  recordGap(id: string, model: string, gapMs: number): void {
    const pace = this.paceOf(id);
    if (pace === undefined) return;
    const { gaps } = this.usualIn(pace.pool);
    const logGap = Math.log(Math.max(MIN_TIME_MS, gapMs));
    this.ageSlowness(pace);
    const before = pace.slowness.mean;
    const logTime = logGap - pace.meanWorkTime;
    gaps.learn({ model, logTime, noise: GAP_NOISE }, pace.slowness);
    // Slow spans are as slow as before, whatever was learned of the long run.
    const change = pace.slowness.mean - before;
    if (pace.peakExcess > 0) pace.peakExcess = Math.max(0, pace.peakExcess - change);
    const knownPeak = this.logPeakNow(pace);
    const measured = logGap - gaps.logOf(model)!;
    const rise = Math.min(MAX_PEAK_RISE, (measured - knownPeak) * PEAK_WEIGHT);
    this.raisePeak(pace, knownPeak + rise);
    this.unreported.add(id);
    this.logBelief(id);
  }

  /** Records the time to the first event of a stream that did not wait in a queue of the target. */
  recordFirstEvent(id: string, { model, timeMs, units }: TimedWork): void {
    const pace = this.paceOf(id);
    if (pace === undefined) return;
    // The gaps of the stream tell the speed of the target better.
    const known = { mean: this.logSlownessNow(pace), variance: 0 };
    const logTime = Math.log(Math.max(MIN_TIME_MS, timeMs) / units);
    const { firstEvents } = this.usualIn(pace.pool);
    firstEvents.learn({ model, logTime, noise: FIRST_NOISE }, known);
  }

  /** Records the time to a response that is no stream and did not wait in a queue of the target. */
  recordResponse(id: string, { model, timeMs, units }: TimedWork): void {
    const pace = this.paceOf(id);
    if (pace === undefined) return;
    this.ageSlowness(pace);
    const logTime = Math.log(Math.max(MIN_TIME_MS, timeMs) / units) - pace.meanWorkTime;
    const { responses } = this.usualIn(pace.pool);
    responses.learn({ model, logTime, noise: FIRST_NOISE }, pace.slowness);
    this.unreported.add(id);
  }

  /** Returns what is expected of a target that runs a model; what is usual, if nothing is known of the target. */
  expect(id: string, model: string, isStreamed = true): ExpectedPace {
    const view = this.table.get(id);
    const usual = view && this.pools.get(view.entry.pool);
    const pace = this.currentOf(id);
    const shared = this.sharedSlowness(id, pace);
    const logSlowness = blend(pace === undefined ? 0 : this.logSlownessNow(pace), shared);
    const ownPeak = pace === undefined ? 0 : this.logPeakNow(pace);
    const logPeak = Math.max(logSlowness, blend(ownPeak, shared));
    const logGap = usual?.gaps.logOf(model);
    const firsts = isStreamed ? usual?.firstEvents : usual?.responses;
    const logFirst = firsts?.logOf(model);
    return {
      slowness: Math.exp(logSlowness),
      peakSlowness: Math.exp(logPeak),
      isMeasured: pace !== undefined && this.isMeasured(pace),
      slowGapMs: logGap === undefined ? undefined : Math.exp(logGap + logPeak),
      firstMsPerUnit: logFirst === undefined ? undefined : Math.exp(logFirst + logSlowness),
    };
  }

  /** Takes what the placer tells of targets that deviate from what is usual. */
  recordShared(rows: readonly DigestRow[]): void {
    const atMs = this.clock.nowMs();
    rows.forEach(([id, slowness, load, workTime, bornMs]) => {
      if (slowness <= 0 || this.table.get(id)?.entry.bornMs !== bornMs) return;
      this.shared.set(id, {
        bornMs,
        logSlowness: Math.log(slowness / PERCENT),
        logWorkTime: Math.log(workTime / PERCENT),
        load,
        atMs,
        weight: this.random(),
      });
      this.logBelief(id);
    });
  }

  /** Returns the requests at a target, as far as what the placer told of them counts. */
  sharedLoad(id: string): number {
    const shared = this.sharedOf(id);
    if (shared === undefined) return 0;
    const ageMs = this.clock.nowMs() - shared.atMs;
    return shared.load * shared.weight * decay(ageMs, SHARED_LOAD_HALF_LIFE_MS);
  }

  /** Returns what was measured of targets since it was last taken, at most so many rows; the rest comes with the next report. */
  takeRows(limit: number): readonly TargetRow[] {
    const ids = [...this.unreported].slice(0, limit);
    ids.forEach((id) => this.unreported.delete(id));
    return ids.flatMap((id) => {
      const pace = this.currentOf(id);
      return pace !== undefined && this.isReported(pace.pool) ? [this.rowOf(id, pace)] : [];
    });
  }

  /** The number of targets that were last taken for slow. */
  get slowCount(): number {
    return this.slowTargets.slowCount;
  }

  /** Drops the state of all targets except the given ones. */
  retain(ids: ReadonlySet<string>): void {
    this.slowTargets.retain(ids);
    this.paces.forEach((_, id) => {
      if (ids.has(id)) return;
      this.paces.delete(id);
      this.unreported.delete(id);
    });
    this.shared.forEach((_, id) => {
      if (!ids.has(id)) this.shared.delete(id);
    });
    const pools = new Set([...this.paces.values()].map(({ pool }) => pool));
    this.pools.forEach((_, pool) => {
      if (!pools.has(pool)) this.pools.delete(pool);
    });
  }

  private logBelief(id: string): void {
    this.slowTargets.observe(id, this.expect(id, ANY_MODEL));
  }

  /** Returns what the placer told of the slowness of a target; it counts for less the better this instance knows it. */
  private sharedSlowness(id: string, pace: Pace | undefined): Blended | undefined {
    const shared = this.sharedOf(id);
    if (shared === undefined) return undefined;
    const ageMs = this.clock.nowMs() - shared.atMs;
    const unknown = pace === undefined ? 1 : this.varianceNow(pace) / TARGET_VARIANCE;
    const value = shared.logSlowness + shared.logWorkTime;
    const least = value > 0 ? MIN_SLOW_WEIGHT : 0;
    const weight = least + (1 - least) * shared.weight;
    return { value, weight: weight * decay(ageMs, SHARED_SLOWNESS_HALF_LIFE_MS) * unknown };
  }

  private sharedOf(id: string): SharedPace | undefined {
    const shared = this.shared.get(id);
    if (shared?.bornMs !== this.table.get(id)?.entry.bornMs || shared === undefined) {
      return undefined;
    }
    return this.clock.nowMs() - shared.atMs <= SHARED_MAX_AGE_MS ? shared : undefined;
  }

  private rowOf(id: string, pace: Pace): TargetRow {
    const { gaps, responses } = this.usualIn(pace.pool);
    // All instances have to report the same figure of a pool: gaps of engines, responses of services.
    const isEngine = (this.table.get(id)?.entry.models.size ?? 0) > 0;
    const logResponse = responses.logOfPool && responses.logOfPool + LOG_RESPONSE_UNITS;
    const logUsual = isEngine ? gaps.logOfPool : logResponse;
    const isMeasured = logUsual !== undefined && this.isMeasured(pace);
    const figure = isMeasured ? Math.exp(logUsual + pace.slowness.mean) * ROW_PACES_PER_MS : 0;
    const logWorkTime = this.logPeakNow(pace) - this.logSpeedNow(pace);
    const workTime = Math.max(1, Math.round(Math.exp(logWorkTime) * PERCENT));
    return [id, Math.round(figure), Math.round(pace.requests), workTime, pace.bornMs];
  }

  private isMeasured(pace: Pace): boolean {
    return this.varianceNow(pace) < MAX_REPORTED_VARIANCE;
  }

  /** The slowness at the usual work time, as far as it is not forgotten. */
  private logSpeedNow({ slowness, slownessAtMs }: Pace): number {
    return slowness.mean * decay(this.clock.nowMs() - slownessAtMs, SLOWNESS_HALF_LIFE_MS);
  }

  /** The slowness at this moment: the last work time counts for a moment, then the mean. */
  private logSlownessNow(pace: Pace): number {
    const ageMs = this.clock.nowMs() - pace.workTimeAtMs;
    const lastWeight = decay(ageMs, LAST_WORK_TIME_HALF_LIFE_MS);
    const sinceLast = pace.lastWorkTime - pace.meanWorkTime;
    return this.logSlownessInLongRun(pace) + sinceLast * lastWeight;
  }

  private logSlownessInLongRun(pace: Pace): number {
    const nowMs = this.clock.nowMs();
    const { meanWorkTime, workTimeAtMs } = pace;
    const workTime = meanWorkTime * decay(nowMs - workTimeAtMs, SLOWNESS_HALF_LIFE_MS);
    return this.logSpeedNow(pace) + workTime;
  }

  /** The slowness in slow spans; what was seen of these returns to the slowness in the long run. */
  private logPeakNow(pace: Pace): number {
    const weight = decay(this.clock.nowMs() - pace.peakAtMs, PEAK_HALF_LIFE_MS);
    return this.logSlownessInLongRun(pace) + pace.peakExcess * weight;
  }

  private raisePeak(pace: Pace, logSlowness: number): void {
    const peak = Math.max(logSlowness, this.logPeakNow(pace));
    const peakExcess = Math.max(0, peak - this.logSlownessInLongRun(pace));
    Object.assign(pace, { peakExcess, peakAtMs: this.clock.nowMs() });
  }

  private ageSlowness(pace: Pace): void {
    const { slowness, slownessAtMs } = pace;
    const nowMs = this.clock.nowMs();
    slowness.variance = this.varianceNow(pace);
    slowness.mean *= decay(nowMs - slownessAtMs, SLOWNESS_HALF_LIFE_MS);
    Object.assign(pace, { slownessAtMs: nowMs });
  }

  private varianceNow({ slowness, slownessAtMs }: Pace): number {
    const kept = decay(this.clock.nowMs() - slownessAtMs, SLOWNESS_HALF_LIFE_MS);
    return TARGET_VARIANCE + (slowness.variance - TARGET_VARIANCE) * kept;
  }

  private usualIn(pool: string): Usual {
    const known = this.pools.get(pool);
    if (known !== undefined) return known;
    const usual = {
      gaps: new UsualTimes(),
      firstEvents: new UsualTimes(),
      responses: new UsualTimes(),
      reportedAtMs: -Infinity,
    };
    this.pools.set(pool, usual);
    return usual;
  }

  private currentOf(id: string): Pace | undefined {
    const pace = this.paces.get(id);
    return pace?.bornMs === this.table.get(id)?.entry.bornMs ? pace : undefined;
  }

  /** Returns the state of a target that is registered, created at first use and after each start of the target. */
  private paceOf(id: string): Pace | undefined {
    const entry = this.table.get(id)?.entry;
    if (entry === undefined) return undefined;
    const known = this.currentOf(id);
    if (known !== undefined) return known;
    const nowMs = this.clock.nowMs();
    const pace: Pace = {
      bornMs: entry.bornMs,
      pool: entry.pool,
      slowness: { mean: 0, variance: TARGET_VARIANCE },
      slownessAtMs: nowMs,
      meanWorkTime: 0,
      lastWorkTime: 0,
      workTimeAtMs: -Infinity,
      peakExcess: 0,
      peakAtMs: nowMs,
      requests: 0,
    };
    this.paces.set(id, pace);
    return pace;
  }
}

export default TargetPace;
