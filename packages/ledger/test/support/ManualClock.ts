import type { Clock } from '@wisteriapath/model';

/** A clock that moves only when told to. */
class ManualClock implements Clock {
  private now = 0;

  private sleepers: { atMs: number; wake: () => void }[] = [];

  nowMs(): number {
    return this.now;
  }

  sleep(durationMs: number): Promise<void> {
    return new Promise((wake) => {
      this.sleepers.push({ atMs: this.now + durationMs, wake });
    });
  }

  advance(durationMs: number): void {
    this.now += durationMs;
    const due = this.sleepers.filter(({ atMs }) => atMs <= this.now);
    this.sleepers = this.sleepers.filter(({ atMs }) => atMs > this.now);
    due.forEach(({ wake }) => wake());
  }
}

export default ManualClock;
