interface StoredRecord {
  readonly offset: number;
  readonly atMs: number;
  readonly payload: string;
}

const MAX_RECORDS_PER_READ = 1_000;

/** An append-only stream of records, in memory. */
class LogStream {
  private records: StoredRecord[] = [];

  private endOffset = 0;

  private readWaiters: (() => void)[] = [];

  constructor(private readonly retentionMs: number) {}

  /** Appends payloads and returns the offset of the first. */
  append(payloads: readonly string[]): number {
    const first = this.endOffset;
    const atMs = Date.now();
    payloads.forEach((payload, position) => {
      this.records.push({ offset: first + position, atMs, payload });
    });
    this.endOffset += payloads.length;
    this.readWaiters.splice(0).forEach((wake) => wake());
    return first;
  }

  /** Returns records from offset `from` on, and the range of offsets that the stream holds. */
  read(from: number) {
    this.expire();
    const firstOffset = this.records[0]?.offset ?? this.endOffset;
    const skipped = Math.max(0, from - firstOffset);
    const records = this.records.slice(skipped, skipped + MAX_RECORDS_PER_READ);
    return { firstOffset, endOffset: this.endOffset, records };
  }

  /**
   * Resolves at the next append if there is no record at `from` yet, at the latest after `waitMs`.
   */
  waitFor(from: number, waitMs: number): Promise<void> {
    if (this.endOffset > from || waitMs === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.readWaiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Drops all records, as if their retention time had passed. */
  expireAll(): void {
    this.records = [];
  }

  private expire(): void {
    const expiryMs = Date.now() - this.retentionMs;
    const firstKept = this.records.findIndex((record) => record.atMs >= expiryMs);
    if (firstKept > 0) this.records = this.records.slice(firstKept);
    if (firstKept < 0) this.records = [];
  }
}

export default LogStream;
