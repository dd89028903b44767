import type { Clock } from '@wisteriapath/model';
import type { QuarantineRecord, EventLog, MemberStore, WallClock } from '@wisteriapath/fleet';
import type { SuspectUpdate } from '@wisteriapath/suspects';
import maxCopyAgeMs from './maxCopyAgeMs';

interface Dependencies {
  readonly clock: Clock;
  readonly wallClock: WallClock;
  readonly log: EventLog;
  readonly store: MemberStore;
  /** Whether this instance is one of the few that write to the store. */
  readonly isWriter: () => boolean;
}

/** Minimum time between two writes. */
const WRITE_INTERVAL_MS = 250;
/** Quarantines that wait to be written; beyond it the oldest are not kept. */
const MAX_WAITING = 64;

/** Quarantines written lately that are known here; beyond it the oldest are not written again. */
const MAX_RECENT = 256;

/** Keeps quarantines in the store, from which the instances read them after all of them have stopped. */
class QuarantineKeeper {
  private readonly waiting = new Map<string, QuarantineRecord>();

  /** What this or another instance wrote lately, by trait, with the time of this instance's monotonic clock. */
  private readonly recent = new Map<
    string,
    { readonly record: QuarantineRecord; readonly savedAtMs: number }
  >();

  private isWriting = false;

  constructor(private readonly deps: Dependencies) {}

  /** Writes the crashes of a quarantined trait, or that it has been cleared. */
  save(trait: string, crashes: QuarantineRecord['crashes']): void {
    const { clock, isWriter, wallClock } = this.deps;
    const record = { trait, crashes, writtenWallMs: wallClock() };
    this.recent.delete(trait);
    this.recent.set(trait, { record, savedAtMs: clock.nowMs() });
    this.dropOldRecent();
    if (isWriter()) this.enqueue(record);
  }

  /**
   * Writes again what was written so lately that an older copy of the store may lack it, if this instance writes.
   * Returns how many quarantines that are.
   */
  saveAgain(): number {
    if (!this.deps.isWriter()) return 0;
    this.dropOldRecent();
    this.recent.forEach(({ record }) => this.enqueue(record));
    return this.recent.size;
  }

  private dropOldRecent(): void {
    const sinceMs = this.deps.clock.nowMs() - maxCopyAgeMs;
    this.recent.forEach(({ savedAtMs }, trait) => {
      if (savedAtMs < sinceMs || this.recent.size > MAX_RECENT) this.recent.delete(trait);
    });
  }

  private enqueue(record: QuarantineRecord): void {
    const { log } = this.deps;
    this.waiting.delete(record.trait);
    this.waiting.set(record.trait, record);
    if (this.waiting.size > MAX_WAITING) {
      const [oldest] = this.waiting.keys();
      this.waiting.delete(oldest);
      log.event('quarantine_not_kept', { trait: oldest, reason: 'too many are waiting' });
    }
    if (!this.isWriting) void this.write();
  }

  private async write(): Promise<void> {
    this.isWriting = true;
    for (;;) {
      const [next] = this.waiting.values();
      if (next === undefined) break;
      this.waiting.delete(next.trait);
      await this.writeOne(next);
      await this.deps.clock.sleep(WRITE_INTERVAL_MS);
    }
    this.isWriting = false;
  }

  private async writeOne(quarantine: QuarantineRecord): Promise<void> {
    const { log, store } = this.deps;
    const { trait, crashes } = quarantine;
    try {
      const isKept = await store.saveQuarantine(quarantine);
      log.event('quarantine_kept', { trait, crashes: crashes.length, done: isKept });
    } catch (error) {
      log.event('quarantine_not_kept', { trait, reason: (error as Error).message });
    }
  }

  /** Returns what the store keeps, as a peer would tell it now. */
  toUpdate(quarantines: readonly QuarantineRecord[]): SuspectUpdate {
    const nowWallMs = this.deps.wallClock();
    const crashes = quarantines.flatMap(({ trait, writtenWallMs, crashes: ofTrait }) => {
      // The time of day may have been set back since.
      const keptMs = Math.max(0, nowWallMs - writtenWallMs);
      return ofTrait.map((crash) => ({ ...crash, ageMs: crash.ageMs + keptMs, traits: [trait] }));
    });
    return { crashes, clearances: [], probes: [] };
  }
}

export default QuarantineKeeper;
