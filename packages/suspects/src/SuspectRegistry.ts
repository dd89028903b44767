import { randomBytes } from 'node:crypto';
import { LRUCache } from 'lru-cache';
import type { Clock } from '@wisteriapath/model';
import type Clearance from './Clearance';
import type CrashReport from './CrashReport';
import CrashWaves from './CrashWaves';
import type Sighting from './Sighting';
import type SuspectUpdate from './SuspectUpdate';
import SuspectDecision from './SuspectDecision';
import TraitRecord from './TraitRecord';
import successiveCrashes from './successiveCrashes';

interface Parts {
  readonly clock: Clock;
  readonly log: {
    event(name: string, fields: Readonly<Record<string, string | number | boolean>>): void;
  };
  /** Sends an update to all peers. */
  readonly announce: (update: SuspectUpdate) => void;
  /** Called with the newest crashes of a quarantined trait when these change, and with none when it is cleared. */
  readonly onQuarantineChanged: (
    trait: string,
    crashes: readonly Omit<CrashReport, 'traits'>[],
  ) => void;
}

/** A crash that this instance has seen. */
interface LocalCrash extends Pick<CrashReport, 'crashId' | 'hasEnded' | 'traits'> {
  /** When the request was sent, on the monotonic clock. */
  readonly sentAtMs: number;
}

/** A decision. */
interface CheckResult {
  readonly decision: SuspectDecision;
  /** Time after which a refused request may be tried; 0 unless it is refused. */
  readonly waitMs: number;
  /** For how long a probe has been due; absent unless the request may be one. */
  readonly overdueMs?: number;
}

const MAX_TRAITS = 10_000;
/** Time after which crashes and answers no longer count. */
const RETENTION_MS = 1_800_000;
/** Weight with which a trait is quarantined that no target is known to have answered on: two crashes or three broken connections. */
const CONVICTION_WEIGHT = 6;
/** The same for a trait that targets have answered on before, in crashes that did not come at once. */
const SOUND_CONVICTION_WEIGHT = 12;
/** Time from the last crash until a request with a quarantined trait is tried; grows with each further crash. */
const FIRST_PROBE_DELAY_MS = 8_000;
/** Successive crashes up to which the time is the first. */
const FIRST_CRASHES = 2;
const PROBE_DELAY_FACTOR = 4;
const MAX_PROBE_DELAY_MS = 600_000;
/** Time after a wave of crashes until a trait is tried whose own crash the wave explains. */
const WAVE_PAUSE_MS = 2_000;
/** Time in which a probe is decided: the target has begun to answer, or has crashed. */
const PROBE_MS = 5_000;
const CLAIM_ID_BYTES = 6;
/** Quarantined traits that are repeated at once, so that a heartbeat with them fits into a packet. */
const MAX_REPEATED_TRAITS = 3;
/** Crashes of each that are repeated: as many as quarantine. */
const MAX_REPEATED_CRASHES = 4;
const CLEAR: CheckResult = { decision: SuspectDecision.Clear, waitMs: 0 };
const WAIT: CheckResult = { decision: SuspectDecision.Wait, waitMs: 0 };

const isEmpty = ({ crashes, clearances, probes }: SuspectUpdate): boolean =>
  crashes.length + clearances.length + probes.length === 0;

/** Checks requests by the crashes of targets that had not begun to answer them. */
class SuspectRegistry {
  private readonly quarantined = new Map<string, TraitRecord>();

  private readonly records: LRUCache<string, TraitRecord>;

  private readonly waves = new CrashWaves();

  /** When a target last began to answer on a trait, on the monotonic clock. */
  private readonly answeredAtMs: LRUCache<string, number>;

  constructor(
    private readonly parts: Parts,
    maxTraits = MAX_TRAITS,
  ) {
    this.records = new LRUCache({
      max: maxTraits,
      dispose: (_, trait) => this.quarantined.delete(trait),
    });
    this.answeredAtMs = new LRUCache({ max: maxTraits });
  }

  /** Number of quarantined traits. */
  get quarantinedCount(): number {
    return this.quarantined.size;
  }

  /** Returns whether a request with these traits may be sent. */
  check(traits: readonly string[]): CheckResult {
    if (this.quarantined.size === 0) return CLEAR;
    const held = traits.filter((trait) => this.quarantined.has(trait));
    if (held.length === 0) return CLEAR;
    const dueInMs = Math.max(...held.map((trait) => this.probeDueInMs(trait, traits)));
    if (dueInMs > 0) return { decision: SuspectDecision.Refused, waitMs: dueInMs };
    if (held.some((trait) => this.isBeingProbed(trait))) return WAIT;
    return { decision: SuspectDecision.Probe, waitMs: 0, overdueMs: -dueInMs };
  }

  /** Claims the probe of a request that may be sent as one, before it is sent; returns the id of the claim. */
  claimProbe(traits: readonly string[]): string {
    const claimId = randomBytes(CLAIM_ID_BYTES).toString('hex');
    const held = traits.filter((trait) => this.quarantined.has(trait));
    this.parts.log.event('suspect_probe', { traits: held.join(','), claim: claimId });
    this.shareProbes(held.map((trait) => [trait, PROBE_MS, claimId]));
    return claimId;
  }

  /** Gives back the claim of a probe that has ended, so that another request can be tried if it decided nothing. */
  endProbe(traits: readonly string[], claimId: string): void {
    const held = traits.filter((trait) => this.quarantined.has(trait));
    if (held.length === 0) return;
    this.parts.log.event('suspect_probe_ended', { traits: held.join(','), claim: claimId });
    this.shareProbes(held.map((trait) => [trait, 0, claimId]));
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
    const clearances = traits.flatMap((trait) => {
      this.markSound(trait);
      const crashIds = this.records.peek(trait)?.crashIds ?? [];
      return crashIds.length > 0 ? [{ trait, crashIds }] : [];
    });
    if (clearances.length === 0) return;
    clearances.forEach((clearance) => this.applyClearance(clearance, 'self'));
    this.announce({ clearances });
  }

  /** Merges an update of a peer; returns what the peer does not seem to know, undefined if nothing. */
  merge({ crashes, clearances, probes }: SuspectUpdate): SuspectUpdate | undefined {
    const refuted = crashes.flatMap(({ crashId, traits }) =>
      traits
        .filter((trait) => this.records.peek(trait)?.wasClearedOf(crashId))
        .map((trait) => ({ trait, crashIds: [crashId] })),
    );
    crashes.forEach((report) => this.applyCrash(report, 'peer'));
    clearances.forEach((clearance) => this.applyClearance(clearance, 'peer'));
    this.applyProbes(probes);
    const reply = { crashes: [], clearances: refuted, probes: [] };
    return isEmpty(reply) ? undefined : reply;
  }

  /**
   * Drops quarantines that have expired, and returns a few of the others, chosen at random, for peers that may have
   * missed them; `null` if there are none.
   */
  repeatQuarantines(): SuspectUpdate | null {
    const nowMs = this.parts.clock.nowMs();
    this.quarantined.forEach(({ lastCrashAtMs }, trait) => {
      if (lastCrashAtMs >= nowMs - RETENTION_MS) return;
      this.records.delete(trait);
      this.parts.onQuarantineChanged(trait, []);
    });
    if (this.quarantined.size === 0) return null;
    const first = Math.floor(Math.random() * this.quarantined.size);
    const quarantined = [...this.quarantined];
    const repeated = [...quarantined.slice(first), ...quarantined.slice(0, first)].slice(
      0,
      MAX_REPEATED_TRAITS,
    );
    const crashes = repeated.flatMap(([trait, record]) =>
      this.newestCrashes(record).map((crash) => ({ ...crash, traits: [trait] })),
    );
    return { crashes, clearances: [], probes: [] };
  }

  /** Returns the newest crashes of a trait, as many as quarantine. */
  private newestCrashes(record: TraitRecord): readonly Omit<CrashReport, 'traits'>[] {
    const nowMs = this.parts.clock.nowMs();
    return record.sightings
      .slice(-MAX_REPEATED_CRASHES)
      .map(([crashId, { crashedAtMs, sentAtMs, hasEnded }]) => ({
        crashId,
        hasEnded,
        ageMs: Math.round(nowMs - crashedAtMs),
        sentBeforeMs: Math.round(crashedAtMs - sentAtMs),
      }));
  }

  private isBeingProbed(trait: string): boolean {
    return this.quarantined.get(trait)!.probeUntilMs > this.parts.clock.nowMs();
  }

  /** Returns the time until a request with these traits may be tried for one of them; negative once it may. */
  private probeDueInMs(trait: string, traits: readonly string[]): number {
    const record = this.quarantined.get(trait)!;
    const excused = record.sightings.filter(([crashId]) => record.isExcusedFor(crashId));
    const counted = record.sightings.filter(([crashId]) => !record.isExcusedFor(crashId));
    const waveEndMs = Math.max(
      -Infinity,
      ...excused.map(([, { crashedAtMs }]) => crashedAtMs + WAVE_PAUSE_MS),
    );
    const dueAtMs = this.isExplainedElsewhere(counted, traits)
      ? -Infinity
      : SuspectRegistry.probeAtMs(counted.map(([, sighting]) => sighting));
    return Math.max(dueAtMs, waveEndMs) - this.parts.clock.nowMs();
  }

  /** Returns the time, on the monotonic clock, from which a trait with these crashes may be tried. */
  private static probeAtMs(sightings: readonly Sighting[]): number {
    const furtherCrashes = Math.max(0, successiveCrashes(sightings).length - FIRST_CRASHES);
    const delayMs = Math.min(
      MAX_PROBE_DELAY_MS,
      FIRST_PROBE_DELAY_MS * PROBE_DELAY_FACTOR ** furtherCrashes,
    );
    return Math.max(...sightings.map(({ crashedAtMs }) => crashedAtMs)) + delayMs;
  }

  /** Whether another quarantined trait, which a request with these traits does not have, was there at all the crashes. */
  private isExplainedElsewhere(
    crashes: readonly (readonly [crashId: string, sighting: Sighting])[],
    traits: readonly string[],
  ): boolean {
    return [...this.quarantined].some(
      ([other, record]) =>
        !traits.includes(other) && crashes.every(([crashId]) => record.has(crashId)),
    );
  }

  private applyCrash(report: CrashReport, source: 'self' | 'peer'): void {
    const crashedAtMs = this.parts.clock.nowMs() - report.ageMs;
    const { crashId, hasEnded } = report;
    this.waves.record(crashId, crashedAtMs);
    const sighting = { crashedAtMs, sentAtMs: crashedAtMs - report.sentBeforeMs, hasEnded };
    const added = report.traits.filter((trait) => this.recordOf(trait).add(crashId, sighting));
    if (added.length > 0) {
      const fields = { crash: crashId, ended: hasEnded, source, traits: added.length };
      this.parts.log.event('crash_reported', fields);
    }
    added.forEach((trait) => this.review(trait, source));
    this.quarantined.forEach((record, trait) => {
      // Marks it as used, so that the many traits of a wave do not displace it.
      this.records.get(trait);
      this.waves.excuse(record);
    });
  }

  private applyClearance({ trait, crashIds }: Clearance, source: 'self' | 'peer'): void {
    this.markSound(trait);
    const record = this.recordOf(trait);
    record.clear(crashIds);
    this.review(trait, source);
  }

  /** Notes probes here, and tells the peers. */
  private shareProbes(probes: SuspectUpdate['probes']): void {
    this.applyProbes(probes);
    this.announce({ probes });
  }

  private applyProbes(probes: SuspectUpdate['probes']): void {
    const nowMs = this.parts.clock.nowMs();
    // Instances of an earlier build send no ids of claims.
    probes.forEach(([trait, durationMs, claimId = `unnamed-${nowMs}`]) => {
      const record = this.records.peek(trait);
      if (durationMs === 0) record?.endProbe(claimId);
      else record?.claimProbe(claimId, nowMs + Math.min(durationMs, PROBE_MS));
    });
  }

  /** Quarantines or clears a trait after its crashes have changed. */
  private review(trait: string, source: 'self' | 'peer'): void {
    const record = this.recordOf(trait);
    const isQuarantined = this.isSound(trait)
      ? record.successiveWeight >= SOUND_CONVICTION_WEIGHT
      : record.weight >= CONVICTION_WEIGHT;
    const wasQuarantined = this.quarantined.has(trait);
    if (isQuarantined || wasQuarantined) {
      this.parts.onQuarantineChanged(trait, isQuarantined ? this.newestCrashes(record) : []);
    }
    if (isQuarantined === wasQuarantined) return;
    if (isQuarantined) this.quarantined.set(trait, record);
    else this.quarantined.delete(trait);
    const name = isQuarantined ? 'suspect_quarantined' : 'suspect_cleared';
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
    this.parts.announce({ crashes: [], clearances: [], probes: [], ...update });
  }
}

export default SuspectRegistry;
