interface Span {
  readonly sinceMs: number;
  readonly lastMs: number;
}

/** Since when asks for each asset could not be met in full. */
class Shortages {
  private readonly spans = new Map<string, Span>();

  /** A shortage not seen again within `memoryMs` is over. */
  constructor(private readonly memoryMs: number) {}

  /** Notes that an ask was not met; answers with how long the shortage has lasted. */
  record(assetId: string, nowMs: number): number {
    const span = this.spans.get(assetId);
    const lasts = span !== undefined && nowMs - span.lastMs <= this.memoryMs;
    const sinceMs = lasts ? span.sinceMs : nowMs;
    this.spans.set(assetId, { sinceMs, lastMs: nowMs });
    return nowMs - sinceMs;
  }
}

export default Shortages;
