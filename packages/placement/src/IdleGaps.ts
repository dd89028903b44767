import { build, type Histogram } from 'hdr-histogram-js';

const MIN_SAMPLES = 5;
/** Shorter gaps lie within one burst of use and say nothing of idleness. */
const MIN_GAP_MS = 1_000;
/** An asset is kept for at least this many times its load time. */
const LOAD_TIMES_KEPT = 3;
const KEEP_PERCENTILE = 90;
const MAX_GAP_MS = 3_600_000;
const HOUR_MS = 3_600_000;

/** The gaps between the uses of one asset, from which its keep-alive follows. */
class IdleGaps {
  private readonly gapsMs: Histogram = build({
    highestTrackableValue: MAX_GAP_MS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });

  private usedAtMs: number | undefined;

  /** Follow from the histogram; reading it costs a walk over its buckets. */
  private usualGapMs = 0;

  private meanGapMs = 0;

  /** Notes a use. */
  use(nowMs: number): void {
    const gapMs = this.usedAtMs === undefined ? 0 : nowMs - this.usedAtMs;
    if (gapMs >= MIN_GAP_MS) this.note(Math.min(MAX_GAP_MS, Math.round(gapMs)));
    this.usedAtMs = nowMs;
  }

  /** Idle time so far. */
  idleMs(nowMs: number): number {
    return this.usedAtMs === undefined ? Infinity : nowMs - this.usedAtMs;
  }

  /** How long the asset is worth keeping idle, at most `limitMs`, given what a load costs. */
  keepAliveMs(limitMs: number, loadMs: number): number {
    if (this.gapsMs.totalCount < MIN_SAMPLES) return limitMs;
    return Math.min(limitMs, Math.max(this.usualGapMs, LOAD_TIMES_KEPT * loadMs));
  }

  /** Expected uses an hour: from the mean gap, or from the present one once that is longer. */
  usesPerHour(nowMs: number): number {
    return HOUR_MS / Math.max(MIN_GAP_MS, this.meanGapMs, this.idleMs(nowMs));
  }

  private note(gapMs: number): void {
    this.gapsMs.recordValue(gapMs);
    this.usualGapMs = this.gapsMs.getValueAtPercentile(KEEP_PERCENTILE);
    this.meanGapMs = this.gapsMs.mean;
  }
}

export default IdleGaps;
