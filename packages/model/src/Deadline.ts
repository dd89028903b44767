import type Clock from './Clock';

/**
 * The instant by which a request must be answered, on this process's monotonic clock.
 *
 * @example
 * const deadline = Deadline.after(clock, 2_000);
 * if (deadline.expired()) refuse();
 */
class Deadline {
  private constructor(
    private readonly clock: Clock,
    private readonly atMs: number,
  ) {}

  /** A deadline `durationMs` from now. */
  static after(clock: Clock, durationMs: number): Deadline {
    return new Deadline(clock, clock.nowMs() + durationMs);
  }

  /** Milliseconds left, 0 once expired. */
  remainingMs(): number {
    return Math.max(0, this.atMs - this.clock.nowMs());
  }

  expired(): boolean {
    return this.remainingMs() === 0;
  }

  /** The same deadline moved earlier by `marginMs`, so that an answer still arrives in time. */
  less(marginMs: number): Deadline {
    return new Deadline(this.clock, this.atMs - marginMs);
  }
}

export default Deadline;
