import type { Clock } from '@wisteriapath/model';

/** Limits on loads from the weight store. */
interface Limits {
  /** Loads that may start per second, averaged over the window. */
  readonly maxPerS: number;
  readonly windowMs: number;
  /** Loads that may run at once. */
  readonly maxActive: number;
}

/** Share of the allowed rate that is used, as a margin for loads that start later than they were ordered. */
const RATE_USE = 0.9;

/** Limits the rate and the concurrency of loads from the weight store. */
class StoreLoadLimiter {
  /** Start times of the loads within the window, in ms. */
  private starts: number[] = [];

  private active = 0;

  constructor(
    private readonly clock: Clock,
    private readonly limits: () => Limits,
  ) {}

  /** Whether a further load may start now. */
  get hasCapacity(): boolean {
    const { maxPerS, windowMs, maxActive } = this.limits();
    const sinceMs = this.clock.nowMs() - windowMs;
    this.starts = this.starts.filter((startMs) => startMs > sinceMs);
    return this.active < maxActive && this.starts.length < maxPerS * (windowMs / 1_000) * RATE_USE;
  }

  /** Counts a load as started, and returns the function to call when it has ended. Does not check the limits. */
  acquire(): () => void {
    this.starts.push(this.clock.nowMs());
    this.active += 1;
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      this.active -= 1;
    };
  }
}

export default StoreLoadLimiter;
