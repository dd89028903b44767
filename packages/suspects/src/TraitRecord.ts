import type Sighting from './Sighting';
import successiveCrashes from './successiveCrashes';

const MAX_CRASHES = 16;
const MAX_CLEARED = 64;
/** Crashes that are excused at most, in the life of a record: what crashes targets may do so in waves too. */
const MAX_EXCUSED = 2;
/** Probes that are kept, ended ones too; there is one at a time but for those that lost datagrams hide from each other. */
const MAX_PROBES = 16;
const CRASH_WEIGHT = 3;
const BROKEN_CONNECTION_WEIGHT = 2;

const weightOf = (sightings: readonly Sighting[]): number =>
  sightings.reduce(
    (sum, { hasEnded }) => sum + (hasEnded ? CRASH_WEIGHT : BROKEN_CONNECTION_WEIGHT),
    0,
  );

/** The crashes that one trait is suspected of, and those of which it was cleared. */
class TraitRecord {
  private readonly crashes = new Map<string, Sighting>();

  private readonly cleared = new Set<string>();

  /** Crashes that came in a wave, and do not delay the next probe for long. */
  private readonly excused = new Set<string>();

  /** Probes of requests with the trait: until when no other is tried, on the monotonic clock, by claim. */
  private readonly probes = new Map<string, number>();

  /** When a probe is decided at the latest that is under way now; -Infinity if none is. */
  get probeUntilMs(): number {
    return Math.max(-Infinity, ...this.probes.values());
  }

  /** Notes a probe; one that has ended stays so, also if its claim arrives later. */
  claimProbe(claimId: string, untilMs: number): void {
    if (!this.probes.has(claimId)) this.probes.set(claimId, untilMs);
    this.dropOldProbes();
  }

  endProbe(claimId: string): void {
    this.probes.set(claimId, -Infinity);
    this.dropOldProbes();
  }

  private dropOldProbes(): void {
    [...this.probes.keys()].slice(0, -MAX_PROBES).forEach((claimId) => this.probes.delete(claimId));
  }

  /** Adds a crash; returns whether it is new, or known to be one only now. */
  add(crashId: string, sighting: Sighting): boolean {
    const known = this.crashes.get(crashId);
    const isNews = known === undefined || (sighting.hasEnded && !known.hasEnded);
    if (!isNews || this.cleared.has(crashId)) return false;
    this.crashes.set(crashId, sighting);
    this.crashIds.slice(0, -MAX_CRASHES).forEach((oldest) => this.crashes.delete(oldest));
    return true;
  }

  /** Removes crashes, also those that are reported only later. */
  clear(crashIds: readonly string[]): void {
    crashIds.forEach((crashId) => {
      this.crashes.delete(crashId);
      this.cleared.add(crashId);
    });
    [...this.cleared].slice(0, -MAX_CLEARED).forEach((crashId) => this.cleared.delete(crashId));
  }

  /** Notes that a crash came in a wave; the first few of each trait are excused. */
  excuse(crashId: string): void {
    if (this.excused.size < MAX_EXCUSED) this.excused.add(crashId);
  }

  isExcusedFor(crashId: string): boolean {
    return this.excused.has(crashId);
  }

  wasClearedOf(crashId: string): boolean {
    return this.cleared.has(crashId);
  }

  get crashIds(): readonly string[] {
    return [...this.crashes.keys()];
  }

  get sightings(): readonly (readonly [crashId: string, sighting: Sighting])[] {
    return [...this.crashes];
  }

  /** What all crashes weigh together. */
  get weight(): number {
    return weightOf([...this.crashes.values()]);
  }

  /** What those crashes weigh that did not come at once. */
  get successiveWeight(): number {
    return weightOf(successiveCrashes([...this.crashes.values()]));
  }

  get lastCrashAtMs(): number {
    return Math.max(...[...this.crashes.values()].map(({ crashedAtMs }) => crashedAtMs));
  }

  has(crashId: string): boolean {
    return this.crashes.has(crashId);
  }
}

export default TraitRecord;
