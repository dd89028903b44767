import {
  DutyAnswer,
  type DutyApi,
  type DutyOptions,
  type EventLog,
  runLoop,
  type UsageReport,
} from '@wisteriapath/fleet';
import type { Clock } from '@wisteriapath/model';
import type DutyLease from './DutyLease';
import type TrueTime from './TrueTime';
import type UsageCollector from './UsageCollector';
import type UsageJournal from './UsageJournal';
import keptWindows from './keptWindows';

interface Dependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly options: DutyOptions;
  readonly lease: DutyLease;
  readonly journal: UsageJournal;
  readonly api: DutyApi;
  readonly time: TrueTime;
  readonly collector: UsageCollector;
  /** Returns the instances that are live, as `name#incarnation`; `undefined` if too few are heard to decide anything. */
  readonly liveInstances: () => readonly string[] | undefined;
  /** Is told what became of a window. */
  readonly onOutcome?: (outcome: 'reported' | 'missed') => void;
}

interface Decision extends UsageReport {
  /** When the report was last sent; -Infinity if it was not in this tenure. */
  triedAtMs: number;
  isDone: boolean;
}

/** What the holder knows in one tenure. */
interface TenureState {
  readonly fence: number;
  /** Era of the store in which the decisions are known to be kept. */
  era: number;
  /** The next window to be decided: all before it are decided or missed. */
  nextWindow: number;
  readonly decisions: Map<number, Decision>;
  /** The decision of the next window, once an append was tried: its counts stay, as that may have been carried out. */
  proposed: UsageReport | undefined;
}

const STEP_INTERVAL_MS = 200;
/** Time after the end of a window at which it is decided without those that did not report. */
const LATEST_DECISION_MS = 4_000;
/** Time for which a report is sent again, counted from the latest time of its decision. */
const REPORT_KEPT_MS = 30_000;
/** Pause after a call without an outcome. */
const RETRY_INTERVAL_MS = 1_000;
const MS_PER_S = 1_000;
/** Error of the true time above which no window is decided: its end is not known well enough. */
const MAX_TIME_ERROR_MS = 1_000;
const MAX_LOGGED_INSTANCES = 8;

/**
 * Decides and reports the usage of all instances while this machine holds the duty. A decision is recorded under the
 * lease before the first send, so that a successor sends the same counts. What is known is forgotten with the tenure: the
 * next one reads it from the store.
 */
class UsageReporter {
  private state: TenureState | undefined;

  private isStopped = false;

  private nextCallMs = -Infinity;

  constructor(private readonly deps: Dependencies) {}

  /** The newest window of which this holder knows that it and all before it are decided or missed; -1 if none. */
  get decidedThrough(): number {
    return (this.state?.nextWindow ?? 0) - 1;
  }

  /** Reports until stopped. */
  async run(): Promise<void> {
    // A slow interface must not delay decisions.
    await Promise.all([
      this.repeat('usage_decisions', () => this.step()),
      this.repeat('usage_sends', () => this.send()),
    ]);
  }

  private async repeat(name: string, doOnce: () => Promise<void>): Promise<void> {
    const { clock, log } = this.deps;
    const isOver = () => this.isStopped;
    const step = async () => {
      await doOnce();
      await clock.sleep(STEP_INTERVAL_MS);
    };
    await runLoop({ name, clock, log, isOver, step });
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Takes notice of the lease and the era, and decides what is due. */
  private async step(): Promise<void> {
    const { lease, time } = this.deps;
    if (!lease.isHeld()) {
      this.state = undefined;
      return;
    }
    if (time.errorMs > MAX_TIME_ERROR_MS) return;
    this.deps.collector.retain(this.windowOf(time.bounds!.lowMs));
    if (this.state?.fence !== lease.fence) {
      this.state = undefined;
      this.state = await this.load(lease.fence);
    }
    const { state } = this;
    if (state === undefined || !(await this.followEra(state))) return;
    await this.decide(state);
  }

  private windowOf(timeMs: number): number {
    return Math.floor(timeMs / this.deps.options.usageWindowMs);
  }

  private endOf(window: number): number {
    return (window + 1) * this.deps.options.usageWindowMs;
  }

  /** Reads what earlier holders decided; `undefined` if that is not known yet. */
  private async load(fence: number): Promise<TenureState | undefined> {
    const { clock, journal, lease, time, log } = this.deps;
    const kept = await journal.read();
    if (kept === undefined || lease.fence !== fence) return undefined;
    const { era, mark } = kept;
    // A window that ended after the last return of the store was decided after it, if at all.
    const seenForMs = clock.nowMs() - kept.eraSinceMs;
    const firstOfEra = this.windowOf(time.bounds!.lowMs - seenForMs);
    const decisions = new Map(
      kept.decisions
        // One of an earlier era may have been carried out late, behind what a later holder decided and the copy lacks.
        .filter(({ writtenInEra }) => writtenInEra === era)
        .map(({ window, counts }) => {
          const isDone = this.isOutdated(window);
          return [window, { window, counts, triedAtMs: -Infinity, isDone }];
        }),
    );
    const newest = Math.max(-1, ...kept.decisions.map(({ window }) => window));
    const isMarked = mark !== null && mark.era === era;
    const state: TenureState = {
      fence,
      era: isMarked ? era : -1,
      nextWindow: Math.max(isMarked ? mark.firstWindow : firstOfEra, newest + 1),
      decisions,
      proposed: undefined,
    };
    const doubtful = kept.decisions.length - decisions.size;
    log.event('usage_duty_begun', { fence, era, decisions: decisions.size, doubtful, newest });
    // In an era without a mark, the copy may lack decisions that were made and sent.
    if (!isMarked && newest >= 0) {
      this.logMissed(newest + 1, state.nextWindow - 1, 'store_returned');
    }
    return state;
  }

  /** Writes what is known into a new era of the store; resolves to whether the journal is of the present one. */
  private async followEra(state: TenureState): Promise<boolean> {
    const { lease, journal, log } = this.deps;
    const era = lease.position?.era;
    if (era === undefined) return false;
    if (era === state.era) return true;
    for (const { window, counts, isDone } of state.decisions.values()) {
      const append = (at: Parameters<typeof journal.appendDecision>[0]) =>
        journal.appendDecision(at, { window, counts });
      if (!isDone && !(await lease.appendEntry(append))) return false;
    }
    // The last one, as it says that the others are complete.
    const { nextWindow: firstWindow } = state;
    const isMarked = await lease.appendEntry((at) => journal.appendMark(at, { era, firstWindow }));
    if (!isMarked || lease.position?.era !== era) return false;
    Object.assign(state, { era });
    log.event('usage_era_marked', { era, first_window: firstWindow });
    return true;
  }

  private async decide(state: TenureState): Promise<void> {
    const { time, lease } = this.deps;
    const current = this.windowOf(time.bounds!.lowMs);
    const oldest = current - keptWindows;
    if (state.nextWindow < oldest) {
      this.logMissed(state.nextWindow, oldest - 1, 'undecided');
      Object.assign(state, { nextWindow: oldest, proposed: undefined });
    }
    while (state.nextWindow < current) {
      if (!(await this.decideNext(state)) || lease.fence !== state.fence) return;
    }
  }

  /** Decides the next window if all have reported on it, or its time is up; resolves to whether it is decided. */
  private async decideNext(state: TenureState): Promise<boolean> {
    const window = state.nextWindow;
    const { time, collector, lease, journal, log, liveInstances } = this.deps;
    const live = liveInstances();
    if (live === undefined) return false;
    const reported = collector.reportedBy(window);
    const missing = live.filter((instance) => !reported.has(instance));
    const isTimeUp = time.bounds!.lowMs >= this.endOf(window) + LATEST_DECISION_MS;
    if (missing.length > 0 && !isTimeUp) return false;
    const decision = state.proposed ?? { window, counts: collector.sum(window) };
    Object.assign(state, { proposed: decision });
    if (!(await lease.appendEntry((at) => journal.appendDecision(at, decision)))) return false;
    Object.assign(state, { proposed: undefined, nextWindow: window + 1 });
    state.decisions.set(window, { ...decision, triedAtMs: -Infinity, isDone: false });
    // What they counted since is lost if they died.
    const lost = [...collector.reportedBy(window - 1)].filter(
      (instance) => !reported.has(instance) && !live.includes(instance),
    );
    log.event('usage_decided', {
      window,
      fence: state.fence,
      instances: reported.size,
      missing: missing.length,
      lost: lost.length,
      lost_names: lost.slice(0, MAX_LOGGED_INSTANCES).join(','),
      missing_names: missing.slice(0, MAX_LOGGED_INSTANCES).join(','),
      requests: Object.values(decision.counts).reduce((sum, count) => sum + count, 0),
    });
    return true;
  }

  /** Sends the report that was not sent for the longest time. */
  private async send(): Promise<void> {
    const { state } = this;
    if (state === undefined || this.deps.time.bounds === undefined) return;
    const { clock, lease, api, options, log, onOutcome } = this.deps;
    this.dropOutdated(state);
    if (clock.nowMs() < this.nextCallMs) return;
    const [decision] = [...state.decisions.values()]
      .filter(({ isDone }) => !isDone)
      .sort((one, other) => one.triedAtMs - other.triedAtMs || one.window - other.window);
    const { holder } = lease;
    const { fence } = state;
    const isHeld = () => lease.isHeld() && lease.fence === fence;
    if (decision === undefined || !isHeld()) return;
    const { window, counts } = decision;
    const intervalMs = MS_PER_S / options.maxCallsPerS;
    decision.triedAtMs = clock.nowMs();
    const answer = await api.reportUsage({ holder, fence, isHeld }, { window, counts });
    const pauseMs = answer === DutyAnswer.Accepted ? 0 : RETRY_INTERVAL_MS;
    this.nextCallMs = clock.nowMs() + Math.max(intervalMs, pauseMs);
    if (answer !== DutyAnswer.Accepted) return;
    decision.isDone = true;
    const lateMs = Math.round(this.deps.time.nowMs! - this.endOf(window));
    log.event('usage_reported', { window, fence, after_ms: lateMs });
    onOutcome?.('reported');
  }

  private isOutdated(window: number): boolean {
    const { lowMs } = this.deps.time.bounds!;
    return lowMs >= this.endOf(window) + LATEST_DECISION_MS + REPORT_KEPT_MS;
  }

  /** Gives up reports that the interface did not take in time. */
  private dropOutdated({ decisions }: TenureState): void {
    decisions.forEach(({ window, isDone }) => {
      if (!this.isOutdated(window)) return;
      decisions.delete(window);
      if (!isDone) this.logMissed(window, window, 'not_accepted');
    });
  }

  private logMissed(first: number, last: number, reason: string): void {
    if (last < first) return;
    this.deps.log.event('usage_missed', { first, last, reason });
    for (let window = first; window <= Math.min(last, first + keptWindows); window += 1) {
      this.deps.onOutcome?.('missed');
    }
  }
}

export default UsageReporter;
