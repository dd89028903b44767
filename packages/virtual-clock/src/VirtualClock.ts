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
      await VirtualClock.settle();
      const next = this.first();
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

  private first(): Sleeper | undefined {
    let first: Sleeper | undefined;
    this.sleepers.forEach((sleeper) => {
      if (first === undefined || sleeper.atMs < first.atMs) first = sleeper;
    });
    return first;
  }

  /** Lets everything run that waits for no time. */
  private static settle(): Promise<void> {
    return new Promise((resolve) => {
      process.nextTick(resolve);
    });
  }
}

export default VirtualClock;
