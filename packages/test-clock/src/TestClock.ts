import type { Clock } from '@wisteriapath/model';

interface Sleeper {
  readonly atMs: number;
  readonly wake: () => void;
}

/** A clock that moves only when told to, and wakes sleepers in the order of their times. */
class TestClock implements Clock {
  private now = 0;

  private sleepers: Sleeper[] = [];

  nowMs(): number {
    return this.now;
  }

  sleep(durationMs: number): Promise<void> {
    return new Promise((wake) => {
      this.sleepers.push({ atMs: this.now + Math.max(0, durationMs), wake });
    });
  }

  /** Moves on by `durationMs`, letting every task run that wakes meanwhile. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.now + durationMs;
    await TestClock.settle();
    for (;;) {
      const next = this.sleepers
        .filter(({ atMs }) => atMs <= endMs)
        .sort((one, other) => one.atMs - other.atMs)[0];
      if (next === undefined) break;
      this.sleepers = this.sleepers.filter((sleeper) => sleeper !== next);
      this.now = Math.max(this.now, next.atMs);
      next.wake();
      await TestClock.settle();
    }
    this.now = endMs;
  }

  /** Moves on by `durationMs` at once; what is due wakes after the caller's turn. */
  skip(durationMs: number): void {
    this.now += durationMs;
    const due = this.sleepers.filter(({ atMs }) => atMs <= this.now);
    this.sleepers = this.sleepers.filter(({ atMs }) => atMs > this.now);
    due.forEach(({ wake }) => wake());
  }

  /** Lets all tasks run that wait for nothing but each other. */
  private static settle(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

export default TestClock;
