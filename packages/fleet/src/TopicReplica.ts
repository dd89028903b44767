import type { Clock } from '@wisteriapath/model';
import comparePositions from './comparePositions';
import type KeyedRecord from './KeyedRecord';
import type RecordSpan from './RecordSpan';
import type StorePosition from './StorePosition';

interface Row {
  readonly position: StorePosition;
  readonly value: Uint8Array;
  /** When an instance read the record from the store, on the monotonic clock. */
  readonly readAtMs: number;
  /** Position of the last record that changed the content of the key, or a later one. */
  readonly changedAt: StorePosition;
}

/** A position that another instance is said to have read up to. */
interface Claim {
  readonly position: StorePosition;
  /** When it was first heard of, on the monotonic clock. */
  readonly heardAtMs: number;
}

/** Deletions that are remembered, so that instances that lack them can be told. */
const MAX_DELETIONS = 2_000;
const START: StorePosition = { era: 0, offset: 0 };
/** Comes before each offset of an era, and before that of a deletion that a list of an empty topic shows. */
const BEFORE_ALL_OFFSETS = -2;

const isBefore = (one: StorePosition, other: StorePosition): boolean =>
  comparePositions(one, other) < 0;

/**
 * A replica of one topic of the platform's store: the newest record of each key, complete up to a position. Spans of
 * records may arrive from the store and from peers, in any order, repeatedly and with gaps. Records are ordered by their
 * positions alone, so a span that arrives late, or is of an older era, changes nothing that is newer. Into a newer era
 * only a list of all keys leads: offsets of different eras cannot be read on from each other.
 */
class TopicReplica {
  private readonly rows = new Map<string, Row>();

  private next: StorePosition | undefined;

  private confirmedMs = -Infinity;

  private readToEndMs = -Infinity;

  /** The furthest position up to which another instance is said to have read; undefined if this one has, too. */
  private furthest: Claim | undefined;

  private behindSince: number | undefined;

  /** Deletions before this position may be unknown: forgotten, or skipped by a list of all keys. */
  private forgottenBefore = START;

  constructor(private readonly clock: Clock) {}

  /** Position up to which all records are known; undefined until the first list of all keys. */
  get end(): StorePosition | undefined {
    return this.next;
  }

  /** Latest time at which the replica is known to have been complete, on the monotonic clock; -Infinity before the first list. */
  get confirmedAtMs(): number {
    return this.confirmedMs;
  }

  /**
   * When this instance last began a read of the store that reached the end, on the monotonic clock; -Infinity if none has.
   * Other instances are told of this time alone: one that was told on would grow younger on its way.
   */
  get readToEndAtMs(): number {
    return this.readToEndMs;
  }

  /** Since when records are known to be missing, on the monotonic clock; undefined if none are. */
  get behindSinceMs(): number | undefined {
    return this.behindSince;
  }

  /** Whether another instance is said to have read in a newer era. */
  get isOfOlderEra(): boolean {
    return this.next !== undefined && (this.furthest?.position.era ?? 0) > this.next.era;
  }

  /** Notes that another instance is said to have read up to a position. */
  observeEnd(position: StorePosition): void {
    if (!isBefore(this.next ?? START, position)) return;
    const nowMs = this.clock.nowMs();
    this.behindSince ??= nowMs;
    if (this.furthest !== undefined && !isBefore(this.furthest.position, position)) return;
    this.furthest = { position, heardAtMs: nowMs };
  }

  /**
   * Notes that a read of the store, begun at `beganMs` on the monotonic clock, found nothing after the end of the
   * replica. What another instance was said to have read further before it began is not so.
   */
  confirmEnd(beganMs: number): void {
    this.readToEndMs = Math.max(this.readToEndMs, beganMs);
    this.confirmedMs = Math.max(this.confirmedMs, beganMs);
    if (this.furthest === undefined || this.furthest.heardAtMs >= beganMs) return;
    this.furthest = undefined;
    this.behindSince = undefined;
  }

  /**
   * Notes that another instance, which knows all up to a position, read at `atMs` on the monotonic clock that nothing came
   * after it. That says something of this replica only if it ends there, too.
   */
  confirmPosition(position: StorePosition, atMs: number): void {
    if (this.next === undefined || comparePositions(position, this.next) !== 0) return;
    this.confirmedMs = Math.max(this.confirmedMs, atMs);
  }

  /** Forgets all positions, but no content, so that the next list of all keys counts as newer than what is known. */
  forgetPositions(): void {
    if (this.next === undefined) return;
    const position = { era: this.next.era, offset: BEFORE_ALL_OFFSETS };
    this.forgetAllDeletions();
    this.rows.forEach((row, key) => {
      this.rows.set(key, { ...row, position, changedAt: position });
    });
    this.next = position;
  }

  /** Whether a span begins after the end of the replica, so that records between are missing. */
  isBeyond({ from }: RecordSpan): boolean {
    return from !== null && (this.next === undefined || isBefore(this.next, from));
  }

  /** Whether a span is the first list of a newer era than that of the replica. */
  entersEra({ from, to }: RecordSpan): boolean {
    return from === null && this.next !== undefined && to.era > this.next.era;
  }

  /**
   * Merges a span and returns its records that are newer than what was known, oldest first. `isRepeat` tells whether a
   * record has the content that its key had before the span.
   *
   * @example
   * replica.merge({ from, to, records, hasEveryRecord: true, settlesInMs: 0 }, () => false);
   */
  merge(span: RecordSpan, isRepeat: (record: KeyedRecord) => boolean): readonly KeyedRecord[] {
    // Before the first list, an end of the span could be taken for the end of all that is known.
    if (this.next === undefined && span.from !== null) return [];
    if (span.from !== null && span.to.era > (this.next?.era ?? 0)) {
      this.observeEnd(span.to);
      return [];
    }
    if (this.entersEra(span)) this.forgetAllDeletions();
    const changed = new Set<string>();
    const newer = [...span.records, ...this.deletionsIn(span)]
      .sort((one, other) => comparePositions(one.position, other.position))
      .filter((record) => this.isNewer(record));
    const taken = newer.filter((record) => {
      const known = this.rows.get(record.key);
      if (known !== undefined && !isBefore(known.position, record.position)) return false;
      const isUnchanged =
        span.hasEveryRecord && known !== undefined && !changed.has(record.key) && isRepeat(record);
      if (!isUnchanged) changed.add(record.key);
      this.rows.set(record.key, {
        position: record.position,
        // The given value is a part of a whole answer, which must not be kept for it.
        value: new Uint8Array(record.value),
        readAtMs: this.clock.nowMs() - record.ageMs,
        changedAt: isUnchanged ? known.changedAt : record.position,
      });
      return true;
    });
    this.advance(span);
    this.forgetDeletions();
    return taken;
  }

  /**
   * Returns what an instance lacks that knows everything before `from`; a list of all keys if `from` is `null`, too far
   * back or of another era. `settlesInMs` gives the time after which the deletion of a key is final.
   */
  since(from: StorePosition | null, settlesInMs: (key: string) => number): RecordSpan {
    const to = this.next ?? START;
    const isWhole = from === null || from.era !== to.era || isBefore(from, this.forgottenBefore);
    const nowMs = this.clock.nowMs();
    const records = [...this.rows]
      .filter(([, { changedAt }]) => isWhole || !isBefore(changedAt, from))
      .map(([key, { position, value, readAtMs }]) => {
        const isDeletion = value.length === 0;
        const waitMs = isDeletion ? settlesInMs(key) : 0;
        return { key, position, value, ageMs: nowMs - readAtMs, settlesInMs: waitMs };
      });
    return {
      from: isWhole ? null : from,
      to,
      records,
      hasEveryRecord: false,
      settlesInMs: 0,
    };
  }

  /** Whether a record is not among those that the replica already accounts for. */
  private isNewer({ position }: KeyedRecord): boolean {
    return this.next === undefined || !isBefore(position, this.next);
  }

  /** Returns deletions of the known keys that a list of all keys lacks. */
  private deletionsIn({ from, to, records, settlesInMs }: RecordSpan): readonly KeyedRecord[] {
    if (from !== null || (this.next !== undefined && isBefore(to, this.next))) return [];
    const listed = new Set(records.map(({ key }) => key));
    return [...this.rows]
      .filter(
        ([key, row]) => !listed.has(key) && row.value.length > 0 && isBefore(row.position, to),
      )
      .map(([key]) => ({
        key,
        // The deletion happened at some offset before the end of the list.
        position: { era: to.era, offset: to.offset - 1 },
        value: new Uint8Array(),
        ageMs: 0,
        settlesInMs,
      }));
  }

  private advance(span: RecordSpan): void {
    if (this.isBeyond(span)) this.observeEnd(span.to);
    if (this.isBeyond(span)) return;
    const order = this.next === undefined ? 1 : comparePositions(span.to, this.next);
    if (order < 0) return;
    if (span.from === null && order > 0) this.forgottenBefore = span.to;
    this.next = span.to;
    if (this.furthest !== undefined && isBefore(this.next, this.furthest.position)) return;
    this.furthest = undefined;
    this.behindSince = undefined;
  }

  /** Forgets deletions, which a list of all keys is about to tell anew. */
  private forgetAllDeletions(): void {
    this.rows.forEach(({ value }, key) => {
      if (value.length === 0) this.rows.delete(key);
    });
  }

  private forgetDeletions(): void {
    const deletions = [...this.rows].filter(([, { value }]) => value.length === 0);
    if (deletions.length <= MAX_DELETIONS) return;
    deletions.sort(([, one], [, other]) => comparePositions(one.position, other.position));
    deletions.slice(0, deletions.length - MAX_DELETIONS).forEach(([key, { position }]) => {
      this.rows.delete(key);
      this.forgottenBefore = { era: position.era, offset: position.offset + 1 };
    });
  }
}

export default TopicReplica;
