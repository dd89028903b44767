import type { Clock } from '@wisteriapath/model';

interface Reading {
  /** Time of day of the source minus the monotonic clock of this machine. */
  readonly offsetMs: number;
  readonly atMs: number;
}

/** Age up to which a clock counts; in large deployments a heartbeat of each instance arrives once a second. */
const MAX_AGE_MS = 5_000;
/** Number of clocks below which one that has jumped could be in the middle. */
const MIN_CLOCKS = 3;

/**
 * The median of the times of day of instances. The clock of one machine may be off by seconds, and jump; while fewer than half of them do, the
 * median is as good as the others.
 *
 * @example
 * clocks.observe('edge-a-1', heartbeat.clockMs);
 */
class ClockMedian {
  private readonly readings = new Map<string, Reading>();

  constructor(private readonly clock: Clock) {}

  /** Learns the time of day of an instance from a message that has just arrived. */
  observe(source: string, timeMs: number): void {
    if (!Number.isFinite(timeMs)) return;
    const atMs = this.clock.nowMs();
    this.readings.set(source, { offsetMs: timeMs - atMs, atMs });
  }

  /** The offset between the median and the monotonic clock of this machine; undefined if too few clocks are known. */
  get offsetMs(): number | undefined {
    const sinceMs = this.clock.nowMs() - MAX_AGE_MS;
    this.readings.forEach(({ atMs }, source) => {
      if (atMs < sinceMs) this.readings.delete(source);
    });
    if (this.readings.size < MIN_CLOCKS) return undefined;
    const offsets = [...this.readings.values()].map(({ offsetMs }) => offsetMs);
    offsets.sort((one, other) => one - other);
    const middle = Math.floor(offsets.length / 2);
    return offsets.length % 2 === 1 ? offsets[middle] : (offsets[middle - 1] + offsets[middle]) / 2;
  }
}

export default ClockMedian;
