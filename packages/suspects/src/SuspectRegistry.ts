import { LRUCache } from 'lru-cache';
import type { Clock } from '@wisteriapath/model';
import type Acquittal from './Acquittal';
import type CrashReport from './CrashReport';
import type SuspectUpdate from './SuspectUpdate';
import SuspectVerdict from './SuspectVerdict';
import TraitRecord from './TraitRecord';

interface Parts {
  readonly clock: Clock;
  readonly log: {
    event(name: string, fields: Readonly<Record<string, string | number | boolean>>): void;
  };
  /** Sends an update to all peers. */
  readonly announce: (update: SuspectUpdate) => void;
}

/** A crash that this instance has seen. */
interface LocalCrash extends Pick<CrashReport, 'crashId' | 'hasEnded' | 'traits'> {
  /** When the request was sent, on the monotonic clock. */
  readonly sentAtMs: number;
}

/** A verdict, with the time after which a refused request may be tried; 0 unless it is refused. */
interface Judgement {
  readonly verdict: SuspectVerdict;
  readonly waitMs: number;
}

const MAX_TRAITS = 10_000;
/** Time after which crashes and answers no longer count. */
const RETENTION_MS = 1_800_000;
/** Weight with which a trait is convicted that no target is known to have answered on: two crashes or three broken connections. */
const CONVICTION_WEIGHT = 6;
/** The same for a trait that targets have answered on before, in crashes that did not come at once. */
const SOUND_CONVICTION_WEIGHT = 12;
/** Time from the last crash until a request with a convicted trait is tried; grows with each further crash. */
const FIRST_TRIAL_DELAY_MS = 8_000;
/** Successive crashes up to which the time is the first. */
const FIRST_CRASHES = 2;
const TRIAL_DELAY_FACTOR = 4;
const MAX_TRIAL_DELAY_MS = 600_000;
/** Time in which a trial is decided: the target has begun to answer, or has crashed. */
const TRIAL_MS = 5_000;
/** Convicted traits that are repeated at once, so that a heartbeat with them fits into a packet. */
const MAX_REPEATED_TRAITS = 3;
/** Crashes of each that are repeated: as many as convict. */
const MAX_REPEATED_CRASHES = 4;
const CLEAR: Judgement = { verdict: SuspectVerdict.Clear, waitMs: 0 };
const WAIT: Judgement = { verdict: SuspectVerdict.Wait, waitMs: 0 };
const TRIAL: Judgement = { verdict: SuspectVerdict.Trial, waitMs: 0 };

const isEmpty = ({ crashes, acquittals, trials }: SuspectUpdate): boolean =>
  crashes.length + acquittals.length + trials.length === 0;

/** Judges requests by the crashes of targets that had not begun to answer them. */
class SuspectRegistry {
  private readonly convicted = new Map<string, TraitRecord>();

  private readonly records: LRUCache<string, TraitRecord>;

  /** When a target last began to answer on a trait, on the monotonic clock. */
  private readonly answeredAtMs: LRUCache<string, number>;

  constructor(
    private readonly parts: Parts,
    maxTraits = MAX_TRAITS,
  ) {
    this.records = new LRUCache({
      max: maxTraits,
      dispose: (_, trait) => this.convicted.delete(trait),
    });
    this.answeredAtMs = new LRUCache({ max: maxTraits });
  }

  /** Number of convicted traits. */
  get convictedCount(): number {
    return this.convicted.size;
  }

  /** Judges a request by its traits. */
  judge(traits: readonly string[]): Judgement {
    if (this.convicted.size === 0) return CLEAR;
    const held = traits.filter((trait) => this.convicted.has(trait));
    if (held.length === 0) return CLEAR;
    const waitMs = Math.max(...held.map((trait) => this.trialDueInMs(trait, traits)));
    if (waitMs > 0) return { verdict: SuspectVerdict.Refused, waitMs };
    return held.some((trait) => this.isOnTrial(trait)) ? WAIT : TRIAL;
  }

  /** Claims the trial of a request that was judged so, before it is sent. */
  claimTrial(traits: readonly string[]): void {
    const held = traits.filter((trait) => this.convicted.has(trait));
    const trials = held.map((trait) => [trait, TRIAL_MS] as const);
    this.applyTrials(trials);
    this.parts.log.event('suspect_trial', { traits: held.join(',') });
    this.announce({ trials });
  }

  /** Records the crash of a target that had not begun to answer a request, or the break of its connection. */
  recordCrash({ sentAtMs, ...crash }: LocalCrash): void {
    const sentBeforeMs = Math.max(0, this.parts.clock.nowMs() - sentAtMs);
    const report = { ...crash, ageMs: 0, sentBeforeMs };
    this.applyCrash(report, 'self');
    this.announce({ crashes: [report] });
  }

  /** Records that a target has begun to answer a request. */
  recordAnswer(traits: readonly string[]): void {
    const acquittals = traits.flatMap((trait) => {
      this.markSound(trait);
      const crashIds = this.records.peek(trait)?.crashIds ?? [];
      return crashIds.length > 0 ? [{ trait, crashIds }] : [];
    });
    if (acquittals.length === 0) return;
    acquittals.forEach((acquittal) => this.applyAcquittal(acquittal, 'self'));
    this.announce({ acquittals });
  }

  /** Merges an update of a peer; returns what the peer does not seem to know, undefined if nothing. */
  merge({ crashes, acquittals, trials }: SuspectUpdate): SuspectUpdate | undefined {
    const refuted = crashes.flatMap(({ crashId, traits }) =>
      traits
        .filter((trait) => this.records.peek(trait)?.wasAcquittedOf(crashId))
        .map((trait) => ({ trait, crashIds: [crashId] })),
    );
    crashes.forEach((report) => this.applyCrash(report, 'peer'));
    acquittals.forEach((acquittal) => this.applyAcquittal(acquittal, 'peer'));
    this.applyTrials(trials);
    const reply = { crashes: [], acquittals: refuted, trials: [] };
    return isEmpty(reply) ? undefined : reply;
  }

  /**
   * Drops convictions that have expired, and returns a few of the others, chosen at random, for peers that may have
   * missed them; `null` if there are none.
   */
  repeatConvictions(): SuspectUpdate | null {
    const nowMs = this.parts.clock.nowMs();
    this.convicted.forEach(({ lastCrashAtMs }, trait) => {
      if (lastCrashAtMs < nowMs - RETENTION_MS) this.records.delete(trait);
    });
    if (this.convicted.size === 0) return null;
    const first = Math.floor(Math.random() * this.convicted.size);
    const convicted = [...this.convicted];
    const repeated = [...convicted.slice(first), ...convicted.slice(0, first)].slice(
      0,
      MAX_REPEATED_TRAITS,
    );
    const crashes = repeated.flatMap(([trait, record]) =>
      record.sightings
        .slice(-MAX_REPEATED_CRASHES)
        .map(([crashId, { crashedAtMs, sentAtMs, hasEnded }]) => ({
          crashId,
          hasEnded,
          traits: [trait],
          ageMs: Math.round(nowMs - crashedAtMs),
          sentBeforeMs: Math.round(crashedAtMs - sentAtMs),
        })),
    );
    return { crashes, acquittals: [], trials: [] };
  }

  private isOnTrial(trait: string): boolean {
    return this.convicted.get(trait)!.trialUntilMs > this.parts.clock.nowMs();
  }

  /** Returns the time until a request with these traits may be tried for one of them. */
  private trialDueInMs(trait: string, traits: readonly string[]): number {
    const record = this.convicted.get(trait)!;
    if (this.isExplainedElsewhere(record, traits)) return 0;
    const dueAtMs = record.lastCrashAtMs + SuspectRegistry.trialDelayMs(record);
    return Math.max(0, dueAtMs - this.parts.clock.nowMs());
  }

  private static trialDelayMs({ successive }: TraitRecord): number {
    const furtherCrashes = Math.max(0, successive.length - FIRST_CRASHES);
    return Math.min(
      MAX_TRIAL_DELAY_MS,
      FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** furtherCrashes,
    );
  }

  /** Whether another convicted trait, which this request does not have, was there at all crashes of a trait. */
  private isExplainedElsewhere(record: TraitRecord, traits: readonly string[]): boolean {
    return [...this.convicted].some(
      ([other, otherRecord]) => !traits.includes(other) && record.isWithin(otherRecord),
    );
  }

  private applyCrash(report: CrashReport, source: 'self' | 'peer'): void {
    const crashedAtMs = this.parts.clock.nowMs() - report.ageMs;
    const { crashId, hasEnded } = report;
    const sighting = { crashedAtMs, sentAtMs: crashedAtMs - report.sentBeforeMs, hasEnded };
    const added = report.traits.filter((trait) => {
      const record = this.recordOf(trait);
      if (!record.add(crashId, sighting)) return false;
      record.trialUntilMs = -Infinity;
      return true;
    });
    if (added.length === 0) return;
    const fields = { crash: crashId, ended: hasEnded, source, traits: added.length };
    this.parts.log.event('crash_reported', fields);
    added.forEach((trait) => this.review(trait, source));
  }

  private applyAcquittal({ trait, crashIds }: Acquittal, source: 'self' | 'peer'): void {
    this.markSound(trait);
    const record = this.recordOf(trait);
    record.acquit(crashIds);
    this.review(trait, source);
  }

  private applyTrials(trials: SuspectUpdate['trials']): void {
    const nowMs = this.parts.clock.nowMs();
    trials.forEach(([trait, durationMs]) => {
      const record = this.records.peek(trait);
      if (record === undefined) return;
      const untilMs = nowMs + Math.min(durationMs, TRIAL_MS);
      record.trialUntilMs = Math.max(record.trialUntilMs, untilMs);
    });
  }

  /** Convicts or acquits a trait after its crashes have changed. */
  private review(trait: string, source: 'self' | 'peer'): void {
    const record = this.recordOf(trait);
    const isConvicted = this.isSound(trait)
      ? record.successiveWeight >= SOUND_CONVICTION_WEIGHT
      : record.weight >= CONVICTION_WEIGHT;
    if (isConvicted === this.convicted.has(trait)) return;
    if (isConvicted) this.convicted.set(trait, record);
    else this.convicted.delete(trait);
    const name = isConvicted ? 'suspect_convicted' : 'suspect_acquitted';
    this.parts.log.event(name, { trait, source, crashes: record.crashIds.length });
  }

  private markSound(trait: string): void {
    this.answeredAtMs.set(trait, this.parts.clock.nowMs());
  }

  /** Whether a target began to answer on a trait lately. */
  private isSound(trait: string): boolean {
    const atMs = this.answeredAtMs.peek(trait) ?? -Infinity;
    return atMs >= this.parts.clock.nowMs() - RETENTION_MS;
  }

  private recordOf(trait: string): TraitRecord {
    const known = this.records.get(trait);
    if (known !== undefined) return known;
    const record = new TraitRecord();
    this.records.set(trait, record);
    return record;
  }

  private announce(update: Partial<SuspectUpdate>): void {
    this.parts.announce({ crashes: [], acquittals: [], trials: [], ...update });
  }
}

export default SuspectRegistry;
