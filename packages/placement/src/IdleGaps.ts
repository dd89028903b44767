import { sum } from '@wisteriapath/model';

const MIN_SAMPLES = 5;
const REMEMBERED_GAPS = 32;
/** Shorter gaps lie within one burst of use and say nothing of idleness. */
const MIN_GAP_MS = 1_000;
const HOUR_MS = 3_600_000;

/** The latest gaps between the uses of one asset, from which its keep-alive follows. */
class IdleGaps {
  private gapsMs: readonly number[] = [];

  private usedAtMs: number | undefined;

  /** Notes a use. */
  recordUse(nowMs: number): void {
    const gapMs = this.usedAtMs === undefined ? 0 : nowMs - this.usedAtMs;
    if (gapMs >= MIN_GAP_MS) {
      this.gapsMs = [...this.gapsMs.slice(1 - REMEMBERED_GAPS), gapMs];
    }
    this.usedAtMs = nowMs;
  }

  /** Idle time so far. */
  idleMs(nowMs: number): number {
    return this.usedAtMs === undefined ? Infinity : nowMs - this.usedAtMs;
  }

  /**
   * The idle time, at most `limitMs`, after which keeping the asset costs more than it saves, where
   * saving one reload is worth `reloadWorthMs` of idle time; `unknownMs` while few gaps are known.
   */
  keepAliveMs(limitMs: number, reloadWorthMs: number, unknownMs: number): number {
    if (this.gapsMs.length < MIN_SAMPLES) return Math.min(limitMs, unknownMs);
    const sorted = [...this.gapsMs].sort((a, b) => a - b);
    let best = { keepMs: 0, gainMs: 0 };
    let idleMs = 0;
    sorted.forEach((gapMs, index) => {
      const covered = index + 1;
      idleMs += gapMs;
      const spentMs = idleMs + gapMs * (sorted.length - covered);
      const gainMs = covered * reloadWorthMs - spentMs;
      if (gapMs <= limitMs && gainMs > best.gainMs) best = { keepMs: gapMs, gainMs };
    });
    return best.keepMs;
  }

  /** Expected uses an hour: from the mean gap, or from the present one once that is longer. */
  usesPerHour(nowMs: number): number {
    const meanGapMs = sum(this.gapsMs) / Math.max(1, this.gapsMs.length);
    return HOUR_MS / Math.max(MIN_GAP_MS, meanGapMs, this.idleMs(nowMs));
  }
}

export default IdleGaps;
