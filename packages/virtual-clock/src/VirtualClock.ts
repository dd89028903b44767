import type { Clock } from '@wisteriapath/model';

interface Sleeper {
  readonly atMs: number;
  readonly wake: () => void;
}

/**
 * A simulated clock that jumps from one pending sleep to the next, so that simulated minutes take
 * little real time.
 */
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

  /** Advances the clock to `untilMs` and wakes sleepers in the order of their times. */
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

  /** Advances the clock by `durationMs` and wakes sleepers in the order of their times. */
  advance(durationMs: number): Promise<void> {
    return this.runUntil(this.now + durationMs);
  }

  /**
   * Advances the clock by `durationMs` at once; due sleepers resume after the caller's synchronous
   * code.
   */
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

  /** Runs the callbacks that are pending without a sleep on this clock. */
  private static runPendingCallbacks(): Promise<void> {
    return new Promise((resolve) => {
      process.nextTick(resolve);
    });
  }
}

export default VirtualClock;
