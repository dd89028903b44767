import { sum } from '@wisteriapath/model';

const MIN_GAPS_FOR_ESTIMATE = 5;
const MAX_RECORDED_GAPS = 32;
/** Shorter gaps lie within one burst of use and are not idle time. */
const MIN_GAP_MS = 1_000;
const MS_PER_HOUR = 3_600_000;

/** The latest gaps between uses of one asset, from which its keep-alive time is calculated. */
class IdleGaps {
  private gapsMs: readonly number[] = [];

  private lastUsedMs: number | undefined;

  /** Records a use; `nowMs` is monotonic time. */
  recordUse(nowMs: number): void {
    const gapMs = this.lastUsedMs === undefined ? 0 : nowMs - this.lastUsedMs;
    if (gapMs >= MIN_GAP_MS) {
      this.gapsMs = [...this.gapsMs.slice(1 - MAX_RECORDED_GAPS), gapMs];
    }
    this.lastUsedMs = nowMs;
  }

  /** Returns the time since the last use; `Infinity` if the asset was never used. */
  idleMs(nowMs: number): number {
    return this.lastUsedMs === undefined ? Infinity : nowMs - this.lastUsedMs;
  }

  /**
   * Returns the idle time, at most `limitMs`, after which keeping the asset loaded costs more than
   * it saves. Saving one reload is worth `reloadWorthMs` of idle time. Returns `defaultMs`, at most
   * `limitMs`, until enough gaps are recorded for an estimate.
   */
  keepAliveMs(limitMs: number, reloadWorthMs: number, defaultMs: number): number {
    if (this.gapsMs.length < MIN_GAPS_FOR_ESTIMATE) return Math.min(limitMs, defaultMs);
    const sorted = [...this.gapsMs].sort((a, b) => a - b);
    let best = { keepMs: 0, gainMs: 0 };
    let idleMs = 0;
    sorted.forEach((gapMs, index) => {
      const coveredCount = index + 1;
      idleMs += gapMs;
      const idleCostMs = idleMs + gapMs * (sorted.length - coveredCount);
      const gainMs = coveredCount * reloadWorthMs - idleCostMs;
      if (gapMs <= limitMs && gainMs > best.gainMs) best = { keepMs: gapMs, gainMs };
    });
    return best.keepMs;
  }

  /**
   * Returns the expected uses per hour: from the mean gap, or from the current one if that is
   * longer.
   */
  usesPerHour(nowMs: number): number {
    const meanGapMs = sum(this.gapsMs) / Math.max(1, this.gapsMs.length);
    return MS_PER_HOUR / Math.max(MIN_GAP_MS, meanGapMs, this.idleMs(nowMs));
  }
}

export default IdleGaps;
