import { build, type Histogram } from 'hdr-histogram-js';

const MIN_SAMPLES = 5;
const KEEP_PERCENTILE = 90;
const MAX_GAP_MS = 3_600_000;

/** The gaps between the uses of one asset, from which its keep-alive follows. */
class IdleGaps {
  private readonly gapsMs: Histogram = build({
    highestTrackableValue: MAX_GAP_MS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });

  private usedAtMs: number | undefined;

  /** Notes a use. */
  use(nowMs: number): void {
    if (this.usedAtMs !== undefined) {
      this.gapsMs.recordValue(Math.min(MAX_GAP_MS, Math.round(nowMs - this.usedAtMs)));
    }
    this.usedAtMs = nowMs;
  }

  /** Idle time so far. */
  idleMs(nowMs: number): number {
    return this.usedAtMs === undefined ? Infinity : nowMs - this.usedAtMs;
  }

  /** How long the asset is worth keeping idle, at most `limitMs`. */
  keepAliveMs(limitMs: number): number {
    if (this.gapsMs.totalCount < MIN_SAMPLES) return limitMs;
    return Math.min(limitMs, this.gapsMs.getValueAtPercentile(KEEP_PERCENTILE));
  }

  /** Uses an hour, from the mean gap; 0 while unknown. */
  usesPerHour(): number {
    if (this.gapsMs.totalCount === 0) return 0;
    return MAX_GAP_MS / Math.max(1, this.gapsMs.mean);
  }
}

export default IdleGaps;
