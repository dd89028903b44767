import type { Clock } from '@wisteriapath/model';

interface Sleeper {
  readonly atMs: number;
  readonly wake: () => void;
}

const SETTLE_TURNS = 12;

/** A clock that jumps from one sleeper to the next, so that minutes pass in moments. */
class VirtualClock implements Clock {
  private now = 0;

  private sleepers: Sleeper[] = [];

  nowMs(): number {
    return this.now;
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      if (signal?.aborted === true) wake();
      else this.sleepers.push({ atMs: this.now + Math.max(0, durationMs), wake });
      signal?.addEventListener('abort', wake);
    });
  }

  /** Lets time pass up to `untilMs`, waking sleepers in their order. */
  async runUntil(untilMs: number): Promise<void> {
    for (;;) {
      await VirtualClock.settle();
      const next = this.sleepers.reduce<Sleeper | undefined>(
        (first, other) => (first === undefined || other.atMs < first.atMs ? other : first),
        undefined,
      );
      if (next === undefined || next.atMs > untilMs) break;
      this.now = Math.max(this.now, next.atMs);
      this.sleepers = this.sleepers.filter((other) => other !== next);
      next.wake();
    }
    this.now = untilMs;
  }

  private static async settle(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await Promise.resolve();
  }
}

export default VirtualClock;
