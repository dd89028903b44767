import type { Clock } from '@wisteriapath/model';
import type { ConvictionRecord, EventLog, MemberStore, WallClock } from '@wisteriapath/fleet';
import type { SuspectUpdate } from '@wisteriapath/suspects';

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
/** Convictions that wait to be written; beyond it the oldest are not kept. */
const MAX_WAITING = 64;

/** Keeps convictions in the store, from which the instances read them after all of them have stopped. */
class ConvictionKeeper {
  private readonly waiting = new Map<string, ConvictionRecord>();

  private isWriting = false;

  constructor(private readonly deps: Dependencies) {}

  /** Writes the crashes of a convicted trait, or that it has been acquitted. */
  save(trait: string, crashes: ConvictionRecord['crashes']): void {
    const { isWriter, wallClock, log } = this.deps;
    if (!isWriter()) return;
    this.waiting.delete(trait);
    this.waiting.set(trait, { trait, crashes, writtenWallMs: wallClock() });
    if (this.waiting.size > MAX_WAITING) {
      const [oldest] = this.waiting.keys();
      this.waiting.delete(oldest);
      log.event('conviction_not_kept', { trait: oldest, reason: 'too many are waiting' });
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

  private async writeOne(conviction: ConvictionRecord): Promise<void> {
    const { log, store } = this.deps;
    const { trait, crashes } = conviction;
    try {
      const isKept = await store.saveConviction(conviction);
      log.event('conviction_kept', { trait, crashes: crashes.length, done: isKept });
    } catch (error) {
      log.event('conviction_not_kept', { trait, reason: (error as Error).message });
    }
  }

  /** Returns what the store keeps, as a peer would tell it now. */
  toUpdate(convictions: readonly ConvictionRecord[]): SuspectUpdate {
    const nowWallMs = this.deps.wallClock();
    const crashes = convictions.flatMap(({ trait, writtenWallMs, crashes: ofTrait }) => {
      // The time of day may have been set back since.
      const keptMs = Math.max(0, nowWallMs - writtenWallMs);
      return ofTrait.map((crash) => ({ ...crash, ageMs: crash.ageMs + keptMs, traits: [trait] }));
    });
    return { crashes, acquittals: [], trials: [] };
  }
}

export default ConvictionKeeper;
