import type Sighting from './Sighting';
import successiveCrashes from './successiveCrashes';

const MAX_CRASHES = 16;
const MAX_ACQUITTED = 64;
/** Crashes that are excused at most, in the life of a record: what crashes targets may do so in waves too. */
const MAX_EXCUSED = 2;
/** Trials that are kept, ended ones too; there is one at a time but for those that lost datagrams hide from each other. */
const MAX_TRIALS = 16;
const CRASH_WEIGHT = 3;
const BROKEN_CONNECTION_WEIGHT = 2;

const weightOf = (sightings: readonly Sighting[]): number =>
  sightings.reduce(
    (sum, { hasEnded }) => sum + (hasEnded ? CRASH_WEIGHT : BROKEN_CONNECTION_WEIGHT),
    0,
  );

/** The crashes that one trait is suspected of, and those of which it was acquitted. */
class TraitRecord {
  private readonly crashes = new Map<string, Sighting>();

  private readonly acquitted = new Set<string>();

  /** Crashes that came in a wave, and do not delay the next trial for long. */
  private readonly excused = new Set<string>();

  /** Trials of requests with the trait: until when no other is tried, on the monotonic clock, by claim. */
  private readonly trials = new Map<string, number>();

  /** When a trial is decided at the latest that is under way now; -Infinity if none is. */
  get trialUntilMs(): number {
    return Math.max(-Infinity, ...this.trials.values());
  }

  /** Notes a trial; one that has ended stays so, also if its claim arrives later. */
  claimTrial(claimId: string, untilMs: number): void {
    if (!this.trials.has(claimId)) this.trials.set(claimId, untilMs);
    this.dropOldTrials();
  }

  endTrial(claimId: string): void {
    this.trials.set(claimId, -Infinity);
    this.dropOldTrials();
  }

  private dropOldTrials(): void {
    [...this.trials.keys()].slice(0, -MAX_TRIALS).forEach((claimId) => this.trials.delete(claimId));
  }

  /** Adds a crash; returns whether it is new, or known to be one only now. */
  add(crashId: string, sighting: Sighting): boolean {
    const known = this.crashes.get(crashId);
    const isNews = known === undefined || (sighting.hasEnded && !known.hasEnded);
    if (!isNews || this.acquitted.has(crashId)) return false;
    this.crashes.set(crashId, sighting);
    this.crashIds.slice(0, -MAX_CRASHES).forEach((oldest) => this.crashes.delete(oldest));
    return true;
  }

  /** Removes crashes, also those that are reported only later. */
  acquit(crashIds: readonly string[]): void {
    crashIds.forEach((crashId) => {
      this.crashes.delete(crashId);
      this.acquitted.add(crashId);
    });
    [...this.acquitted]
      .slice(0, -MAX_ACQUITTED)
      .forEach((crashId) => this.acquitted.delete(crashId));
  }

  /** Notes that a crash came in a wave; the first few of each trait are excused. */
  excuse(crashId: string): void {
    if (this.excused.size < MAX_EXCUSED) this.excused.add(crashId);
  }

  isExcusedFor(crashId: string): boolean {
    return this.excused.has(crashId);
  }

  wasAcquittedOf(crashId: string): boolean {
    return this.acquitted.has(crashId);
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
