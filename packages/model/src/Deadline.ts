import type Clock from './Clock';

/**
 * The time by which a request must be answered, on the monotonic clock of this process.
 *
 * @example
 * const deadline = Deadline.after(clock, 2_000);
 * if (deadline.isExpired()) refuse();
 */
class Deadline {
  private constructor(
    private readonly clock: Clock,
    private readonly atMs: number,
  ) {}

  /** Returns a deadline `durationMs` from now. */
  static after(clock: Clock, durationMs: number): Deadline {
    return new Deadline(clock, clock.nowMs() + durationMs);
  }

  /** Returns the milliseconds left; 0 once expired. */
  remainingMs(): number {
    return Math.max(0, this.atMs - this.clock.nowMs());
  }

  isExpired(): boolean {
    return this.remainingMs() === 0;
  }

  /** Returns a deadline that is `marginMs` earlier, which leaves time for the response. */
  earlierBy(marginMs: number): Deadline {
    return new Deadline(this.clock, this.atMs - marginMs);
  }
}

export default Deadline;
