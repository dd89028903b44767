import { type Clock, sum } from '@wisteriapath/model';
import type { EventLog, RegisteredTarget, TargetTable } from '@wisteriapath/fleet';
import type DomainContact from './DomainContact';
import TargetPace from './TargetPace';
import type TargetReservation from './TargetReservation';

/** The state kept for one life of a target. */
interface Load {
  /** Start of the target by its entry; undefined if it was not known. */
  readonly bornMs: number | undefined;
  /** Requests of this instance in progress, by `model/adapter`. */
  readonly running: Map<string, number>;
  /** The requests that have not received response headers, with the time at which they were sent. */
  readonly unanswered: Set<{ readonly sinceMs: number }>;
  /** Load that the target reported last, without the requests of this instance. */
  othersLoad: number;
  reportedAtMs: number;
  /** When the last byte arrived from the target. */
  lastByteAtMs: number;
  /** Time until which no request is sent, after a connection could not be opened. */
  unreachableUntilMs: number;
  /** Time until which no request is sent, after one ended without a byte of the target. */
  silentUntilMs: number;
  /** Consecutive requests that found the target silent: no connection was opened, or no byte arrived. */
  silences: number;
  /** Exponentially weighted fraction of recent requests that failed. */
  failureRate: number;
  failureRateAtMs: number;
}

const FAILURE_WEIGHT = 0.3;
const FAILURE_HALF_LIFE_MS = 1_500;
const REPORT_HALF_LIFE_MS = 1_000;
/** Time without a first byte after which a target is considered unresponsive. */
const FIRST_BYTE_TIMEOUT_MS = 700;
/** Cost of a target that fails every request, as a multiple of its slots. */
const FAILURE_COST = 3;
/** Time without requests after a request found the target silent; doubles with each further one. */
const SILENCE_BACKOFF_MS = 300;
const MAX_SILENCE_BACKOFF_MS = 1_200;

const requestsOf = ({ running }: Load): number => sum([...running.values()]);

/** The load and health of targets as this instance observes them. A target that started anew begins without. */
class TargetLoads {
  private readonly loads = new Map<string, Load>();

  /** How fast the targets work. */
  readonly pace: TargetPace;

  constructor(
    private readonly clock: Clock,
    /** Tells in which life each target is. */
    private readonly table: Pick<TargetTable, 'get'>,
    private readonly contact: DomainContact,
    log?: EventLog,
  ) {
    this.pace = new TargetPace(clock, table, Math.random, log);
  }

  /** Reserves a target for a request, which counts as in progress from now on. */
  reserve(id: string, model: string, adapter: string | null): TargetReservation {
    const load = this.loadOf(id);
    const key = `${model}/${adapter ?? ''}`;
    const sentMark = { sinceMs: this.clock.nowMs() };
    load.running.set(key, (load.running.get(key) ?? 0) + 1);
    load.unanswered.add(sentMark);
    const recordByte = () => {
      load.lastByteAtMs = this.clock.nowMs();
      this.contact.recordResponse(this.domainOf(id));
    };
    const end = () => {
      // The caller may have left first; the target is no less silent for that.
      if (load.unanswered.has(sentMark) && this.isSilentSince(load, sentMark.sinceMs)) {
        load.silentUntilMs = this.clock.nowMs() + this.recordSilence(id, load);
      }
      load.unanswered.delete(sentMark);
      const left = (load.running.get(key) ?? 1) - 1;
      if (left > 0) load.running.set(key, left);
      else load.running.delete(key);
    };
    /** Records a pace, unless the target has started anew since. */
    const recordPace = (record: (pace: TargetPace) => void) => {
      if (this.isCurrent(id, load)) record(this.pace);
    };
    return {
      recordResponse: (fields) => {
        load.unanswered.delete(sentMark);
        load.silences = 0;
        recordByte();
        if (fields.load === null) return;
        const { running, waiting, workTimeFactor } = fields.load;
        load.othersLoad = Math.max(0, running + waiting - requestsOf(load));
        load.reportedAtMs = this.clock.nowMs();
        if (workTimeFactor !== null && workTimeFactor !== undefined) {
          recordPace((pace) => pace.recordWorkTime(id, workTimeFactor, running + waiting));
        }
      },
      recordData: recordByte,
      recordGap: (gapMs) => recordPace((pace) => pace.recordGap(id, model, gapMs)),
      recordFirstEvent: (timeMs, units) =>
        recordPace((pace) => pace.recordFirstEvent(id, { model, timeMs, units })),
      recordResponseTime: (timeMs, units) =>
        recordPace((pace) => pace.recordResponse(id, { model, timeMs, units })),
      recordConnectFailure: () => {
        load.unanswered.delete(sentMark);
        load.unreachableUntilMs = this.clock.nowMs() + this.recordSilence(id, load);
      },
      release: end,
      complete: (isFailure) => {
        end();
        this.recordOutcome(load, isFailure);
      },
    };
  }

  /** Returns the number of requests of this instance in progress at a target. */
  ownRequests(id: string): number {
    const load = this.currentOf(id);
    return load === undefined ? 0 : requestsOf(load);
  }

  /** Returns the expected fraction of a target's slots in use, plus a penalty for failures; lower is better. */
  cost(target: Pick<RegisteredTarget, 'id' | 'slots'>): number {
    return this.utilization(target) + this.failureCost(target.id);
  }

  /** Returns the expected fraction of a target's slots in use; above 1 if requests wait there. */
  utilization({ id, slots }: Pick<RegisteredTarget, 'id' | 'slots'>): number {
    const load = this.currentOf(id);
    if (load === undefined) return 0;
    const ageMs = this.clock.nowMs() - load.reportedAtMs;
    const others = load.othersLoad * 0.5 ** (ageMs / REPORT_HALF_LIFE_MS);
    return (requestsOf(load) + others) / Math.max(1, slots);
  }

  /** Returns the penalty for recent failures of a target, as a multiple of its slots. */
  failureCost(id: string): number {
    const load = this.currentOf(id);
    if (load === undefined) return 0;
    const ageMs = this.clock.nowMs() - load.failureRateAtMs;
    return load.failureRate * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS) * FAILURE_COST;
  }

  /** Whether requests can be sent: connections can be opened, and responses arrive. */
  isReachable(id: string): boolean {
    if (this.contact.isCutOff(this.domainOf(id))) return false;
    const load = this.currentOf(id);
    return load === undefined || !this.isUnavailable(load);
  }

  /** Whether requests can be sent, and the last one did not find the target silent: a back-off ends without any sign of life. */
  isAnswering(id: string): boolean {
    return this.isReachable(id) && (this.currentOf(id)?.silences ?? 0) === 0;
  }

  /**
   * Returns the ids of the targets that this instance found out of reach by itself: a connection does not open, or a request
   * waits for its first byte. Placers take the word of any instance, so what it only infers is left out.
   */
  findUnreachable(): readonly string[] {
    const { current } = this;
    current
      .filter(([, load]) => this.isUnresponsive(load))
      .forEach(([id]) => this.contact.recordSilence(this.domainOf(id)));
    return current.filter(([, load]) => this.isFoundUnreachable(load)).map(([id]) => id);
  }

  private isFoundUnreachable(load: Load): boolean {
    return load.unreachableUntilMs > this.clock.nowMs() || this.isUnresponsive(load);
  }

  private isUnavailable(load: Load): boolean {
    return load.silentUntilMs > this.clock.nowMs() || this.isFoundUnreachable(load);
  }

  /** Whether a request has waited too long for its first byte while no byte of any other response arrived. */
  private isUnresponsive(load: Load): boolean {
    return [...load.unanswered].some(({ sinceMs }) => this.isSilentSince(load, sinceMs));
  }

  /** Whether a request that was sent at `sinceMs` should have been answered by now, and no byte of any response arrived. */
  private isSilentSince({ lastByteAtMs }: Load, sinceMs: number): boolean {
    const beforeMs = this.clock.nowMs() - FIRST_BYTE_TIMEOUT_MS;
    return lastByteAtMs < beforeMs && sinceMs < beforeMs;
  }

  /** Notes that a target did not respond; returns the time for which to send it nothing. */
  private recordSilence(id: string, load: Load): number {
    const { silences } = load;
    Object.assign(load, { silences: silences + 1 });
    this.contact.recordSilence(this.domainOf(id));
    return Math.min(MAX_SILENCE_BACKOFF_MS, SILENCE_BACKOFF_MS * 2 ** silences);
  }

  private domainOf(id: string): string {
    return this.table.get(id)?.entry.failureDomain ?? '';
  }

  /** When the last byte arrived from a target in the life of an entry, on the monotonic clock; -Infinity if none has. */
  lastByteAtMs({ id, bornMs }: Pick<RegisteredTarget, 'id' | 'bornMs'>): number {
    const load = this.loads.get(id);
    return load?.bornMs === bornMs ? load.lastByteAtMs : -Infinity;
  }

  /** The requests in progress, as `[target, model, adapter or '', count]`. */
  get running(): readonly (readonly [string, string, string, number])[] {
    return this.current.flatMap(([id, { running }]) =>
      [...running].map(([key, count]) => {
        const [model = '', adapter = ''] = key.split('/');
        return [id, model, adapter, count] as const;
      }),
    );
  }

  /** Drops the state of all targets except the given ones and those with requests in progress. */
  retain(ids: ReadonlySet<string>): void {
    this.pace.retain(ids);
    this.loads.forEach((load, id) => {
      if (!ids.has(id) && load.running.size === 0) this.loads.delete(id);
    });
  }

  private recordOutcome(load: Load, isFailure: boolean): void {
    const nowMs = this.clock.nowMs();
    const decayedRate =
      load.failureRate * 0.5 ** ((nowMs - load.failureRateAtMs) / FAILURE_HALF_LIFE_MS);
    const failureRate = decayedRate * (1 - FAILURE_WEIGHT) + (isFailure ? FAILURE_WEIGHT : 0);
    Object.assign(load, { failureRate, failureRateAtMs: nowMs });
  }

  /** Whether a load is that of a target's life, or of its last one that was known. */
  private isCurrent(id: string, { bornMs }: Load): boolean {
    const view = this.table.get(id);
    return view === undefined || view.entry.bornMs === bornMs;
  }

  private get current(): readonly (readonly [string, Load])[] {
    return [...this.loads].filter(([id, load]) => this.isCurrent(id, load));
  }

  private currentOf(id: string): Load | undefined {
    const load = this.loads.get(id);
    return load !== undefined && this.isCurrent(id, load) ? load : undefined;
  }

  private loadOf(id: string): Load {
    const known = this.currentOf(id);
    if (known !== undefined) return known;
    const load: Load = {
      bornMs: this.table.get(id)?.entry.bornMs,
      running: new Map(),
      unanswered: new Set(),
      othersLoad: 0,
      reportedAtMs: 0,
      lastByteAtMs: -Infinity,
      unreachableUntilMs: 0,
      silentUntilMs: 0,
      silences: 0,
      failureRate: 0,
      failureRateAtMs: 0,
    };
    this.loads.set(id, load);
    return load;
  }
}

export default TargetLoads;
