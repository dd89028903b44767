import { build, type Histogram } from 'hdr-histogram-js';

const MIN_SAMPLES = 5;
/** Shorter gaps lie within one burst of use and say nothing of idleness. */
const MIN_GAP_MS = 1_000;
/** An asset is kept for at least this many times its load time. */
const LOAD_TIMES_KEPT = 3;
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
    const gapMs = this.usedAtMs === undefined ? 0 : nowMs - this.usedAtMs;
    if (gapMs >= MIN_GAP_MS) this.gapsMs.recordValue(Math.min(MAX_GAP_MS, Math.round(gapMs)));
    this.usedAtMs = nowMs;
  }

  /** Idle time so far. */
  idleMs(nowMs: number): number {
    return this.usedAtMs === undefined ? Infinity : nowMs - this.usedAtMs;
  }

  /** How long the asset is worth keeping idle, at most `limitMs`, given what a load costs. */
  keepAliveMs(limitMs: number, loadMs: number): number {
    if (this.gapsMs.totalCount < MIN_SAMPLES) return limitMs;
    const usualGapMs = this.gapsMs.getValueAtPercentile(KEEP_PERCENTILE);
    return Math.min(limitMs, Math.max(usualGapMs, LOAD_TIMES_KEPT * loadMs));
  }

  /** Uses an hour, from the mean gap; 0 while unknown. */
  usesPerHour(): number {
    if (this.gapsMs.totalCount === 0) return 0;
    return MAX_GAP_MS / this.gapsMs.mean;
  }
}

export default IdleGaps;
