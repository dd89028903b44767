import type { Clock } from '@wisteriapath/model';

interface Sleeper {
  readonly atMs: number;
  readonly wake: () => void;
}

/** A clock that jumps from one sleeper to the next, so that minutes pass in moments. */
class VirtualClock implements Clock {
  private now = 0;

  private readonly sleepers = new Set<Sleeper>();

  nowMs(): number {
    return this.now;
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) {
        resolve();
        return;
      }
      const sleeper: Sleeper = {
        atMs: this.now + Math.max(0, durationMs),
        wake: () => {
          this.sleepers.delete(sleeper);
          signal?.removeEventListener('abort', sleeper.wake);
          resolve();
        },
      };
      this.sleepers.add(sleeper);
      signal?.addEventListener('abort', sleeper.wake);
    });
  }

  /** Lets time pass up to `untilMs`, waking sleepers in their order. */
  async runUntil(untilMs: number): Promise<void> {
    for (;;) {
      await VirtualClock.runPendingCallbacks();
      const next = this.earliestSleeper();
      if (next === undefined || next.atMs > untilMs) break;
      this.now = Math.max(this.now, next.atMs);
      next.wake();
    }
    this.now = untilMs;
  }

  /** Lets `durationMs` pass, waking sleepers in their order. */
  advance(durationMs: number): Promise<void> {
    return this.runUntil(this.now + durationMs);
  }

  /** Moves on by `durationMs` at once; what is due wakes after the caller's turn. */
  skip(durationMs: number): void {
    this.now += durationMs;
    [...this.sleepers].filter(({ atMs }) => atMs <= this.now).forEach(({ wake }) => wake());
  }

  private earliestSleeper(): Sleeper | undefined {
    let earliest: Sleeper | undefined;
    this.sleepers.forEach((sleeper) => {
      if (earliest === undefined || sleeper.atMs < earliest.atMs) earliest = sleeper;
    });
    return earliest;
  }

  /** Lets everything run that waits for no time. */
  private static runPendingCallbacks(): Promise<void> {
    return new Promise((resolve) => {
      process.nextTick(resolve);
    });
  }
}

export default VirtualClock;
