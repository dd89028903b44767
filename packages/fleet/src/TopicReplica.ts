import type { Clock } from '@wisteriapath/model';
import type KeyedRecord from './KeyedRecord';
import type RecordSpan from './RecordSpan';

interface Row {
  readonly offset: number;
  readonly value: Uint8Array;
  /** When an instance read the record from the store, on the monotonic clock. */
  readonly readAtMs: number;
  /** Offset of the last record that changed the content of the key, or a later one. */
  readonly changedOffset: number;
}

/** Deletions that are remembered, so that instances that lack them can be told. */
const MAX_DELETIONS = 2_000;

/**
 * A replica of one topic of the platform's store: the newest record of each key, complete up to an offset. Spans of
 * records may arrive from the store and from peers, in any order, repeatedly and with gaps. Records are ordered by their
 * offsets alone, so a span that arrives late changes nothing that is newer.
 */
class TopicReplica {
  private readonly rows = new Map<string, Row>();

  private nextOffset: number | undefined;

  private confirmedMs = -Infinity;

  /** The furthest offset up to which another instance is known to have read. */
  private furthestOffset = 0;

  private behindSince: number | undefined;

  /** Deletions before this offset may be unknown: forgotten, or skipped by a list of all keys. */
  private forgottenBefore = 0;

  constructor(private readonly clock: Clock) {}

  /** Offset up to which all records are known; undefined until the first list of all keys. */
  get end(): number | undefined {
    return this.nextOffset;
  }

  /** When the replica was last known to be complete, on the monotonic clock; -Infinity before the first list. */
  get confirmedAtMs(): number {
    return this.confirmedMs;
  }

  /** Since when records are known to be missing, on the monotonic clock; undefined if none are. */
  get behindSinceMs(): number | undefined {
    return this.behindSince;
  }

  /** Notes that another instance has read up to an offset. */
  observeEnd(offset: number): void {
    this.furthestOffset = Math.max(this.furthestOffset, offset);
    if (offset > (this.nextOffset ?? 0)) this.behindSince ??= this.clock.nowMs();
  }

  /** Whether a span begins after the end of the replica, so that records between are missing. */
  isBeyond({ from }: RecordSpan): boolean {
    return from !== null && (this.nextOffset === undefined || from > this.nextOffset);
  }

  /**
   * Merges a span and returns its records that are newer than what was known, oldest first. `isRepeat` tells whether a
   * record has the content that its key had before the span.
   *
   * @example
   * replica.merge({ from: 4, to: 5, records, hasEveryRecord: true, settlesInMs: 0 }, () => false);
   */
  merge(span: RecordSpan, isRepeat: (record: KeyedRecord) => boolean): readonly KeyedRecord[] {
    // Before the first list, an end of the span could be taken for the end of all that is known.
    if (this.nextOffset === undefined && span.from !== null) return [];
    const changed = new Set<string>();
    const newer = [...span.records, ...this.deletionsIn(span)]
      .sort((one, other) => one.offset - other.offset)
      .filter((record) => this.isNewer(record));
    const taken = newer.filter((record) => {
      const known = this.rows.get(record.key);
      if (known !== undefined && known.offset >= record.offset) return false;
      const isUnchanged =
        span.hasEveryRecord && known !== undefined && !changed.has(record.key) && isRepeat(record);
      if (!isUnchanged) changed.add(record.key);
      this.rows.set(record.key, {
        offset: record.offset,
        // The given value is a part of a whole answer, which must not be kept for it.
        value: new Uint8Array(record.value),
        readAtMs: this.clock.nowMs() - record.ageMs,
        changedOffset: isUnchanged ? known.changedOffset : record.offset,
      });
      return true;
    });
    this.advance(span);
    this.forgetDeletions();
    return taken;
  }

  /**
   * Returns what an instance lacks that knows everything before `from`; a list of all keys if `from` is `null` or too
   * far back. `settlesInMs` gives the time after which the deletion of a key is final.
   */
  since(from: number | null, settlesInMs: (key: string) => number): RecordSpan {
    const isWhole = from === null || from < this.forgottenBefore;
    const nowMs = this.clock.nowMs();
    const records = [...this.rows]
      .filter(([, { changedOffset }]) => isWhole || changedOffset >= from)
      .map(([key, { offset, value, readAtMs }]) => {
        const isDeletion = value.length === 0;
        const waitMs = isDeletion ? settlesInMs(key) : 0;
        return { key, offset, value, ageMs: nowMs - readAtMs, settlesInMs: waitMs };
      });
    return {
      from: isWhole ? null : from,
      to: this.nextOffset ?? 0,
      records,
      hasEveryRecord: false,
      settlesInMs: 0,
    };
  }

  /** Whether a record is not among those that the replica already accounts for. */
  private isNewer({ offset }: KeyedRecord): boolean {
    return this.nextOffset === undefined || offset >= this.nextOffset;
  }

  /** Returns deletions of the known keys that a list of all keys lacks. */
  private deletionsIn({ from, to, records, settlesInMs }: RecordSpan): readonly KeyedRecord[] {
    if (from !== null || to < (this.nextOffset ?? 0)) return [];
    const listed = new Set(records.map(({ key }) => key));
    return [...this.rows]
      .filter(([key, row]) => !listed.has(key) && row.value.length > 0 && row.offset < to)
      .map(([key]) => ({
        key,
        // The deletion happened at some offset before the end of the list.
        offset: to - 1,
        value: new Uint8Array(),
        ageMs: 0,
        settlesInMs,
      }));
  }

  private advance(span: RecordSpan): void {
    if (this.isBeyond(span)) this.observeEnd(span.to);
    if (this.isBeyond(span) || span.to < (this.nextOffset ?? 0)) return;
    if (span.from === null && span.to > (this.nextOffset ?? 0)) this.forgottenBefore = span.to;
    this.nextOffset = span.to;
    this.confirmedMs = this.clock.nowMs();
    if (this.nextOffset >= this.furthestOffset) this.behindSince = undefined;
  }

  private forgetDeletions(): void {
    const deletions = [...this.rows].filter(([, { value }]) => value.length === 0);
    if (deletions.length <= MAX_DELETIONS) return;
    deletions.sort(([, one], [, other]) => one.offset - other.offset);
    deletions.slice(0, deletions.length - MAX_DELETIONS).forEach(([key, { offset }]) => {
      this.rows.delete(key);
      this.forgottenBefore = offset + 1;
    });
  }
}

export default TopicReplica;
