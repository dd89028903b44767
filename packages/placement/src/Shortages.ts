interface Shortage {
  readonly sinceMs: number;
  readonly lastMs: number;
}

/** Tracks since when requests for each asset could not be met in full. */
class Shortages {
  private readonly shortages = new Map<string, Shortage>();

  /** A shortage ends when it is not recorded again within `maxGapMs`. */
  constructor(private readonly maxGapMs: number) {}

  /**
   * Records that a request was not met in full. Returns how long the shortage has lasted, in ms.
   */
  record(assetId: string, nowMs: number): number {
    const shortage = this.shortages.get(assetId);
    const isOngoing = shortage !== undefined && nowMs - shortage.lastMs <= this.maxGapMs;
    const sinceMs = isOngoing ? shortage.sinceMs : nowMs;
    this.shortages.set(assetId, { sinceMs, lastMs: nowMs });
    return nowMs - sinceMs;
  }
}

export default Shortages;
