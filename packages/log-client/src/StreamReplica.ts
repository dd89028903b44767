import type { Maybe } from 'purify-ts';
import type { Clock, Deadline } from '@wisteriapath/model';
import type Fold from './Fold';
import type FoldedStream from './FoldedStream';
import type LogBatch from './LogBatch';
import type LogPort from './LogPort';
import type LogRecord from './LogRecord';
import type RecordVerdict from './RecordVerdict';
import type Snapshot from './Snapshot';
import type SnapshotCodec from './SnapshotCodec';
import backoffMs from './backoffMs';
import emptyFoldedStream from './emptyFoldedStream';
import foldRecord from './foldRecord';

const DEFAULT_LONG_POLL_MS = 1_000;
const RETRY_BASE_MS = 50;
const RETRY_MAX_MS = 1_000;
const MAX_RELAY_WINDOW_RECORDS = 1_024;
/** Time in which a record that is waited for usually arrives, by the read in progress. */
const USUAL_ARRIVAL_MS = 300;
/** Time beyond its wait after which a read is not answered any more. */
const READ_OVERDUE_MS = 1_000;

interface Options<S> {
  /** Returns a state at a later offset, if one is available, to skip records that have expired. */
  readonly recover?: () => Promise<FoldedStream<S> | undefined>;
  /**
   * How long one read waits for a record while nobody waits for the replica. Its view of the end of the log may be as
   * old as this, and older where a connection has gone silent.
   */
  readonly longPollMs?: number;
  /** Serializes the state for peers that lack the records to build it themselves. */
  readonly codec?: SnapshotCodec<S>;
}

/** The read in progress. */
interface Reading {
  readonly beganMs: number;
  readonly waitMs: number;
  /** Ends it, so that the next read begins. */
  readonly end: () => void;
}

/**
 * A local replica of the state of a stream. It follows the log and also accepts records of peers.
 */
class StreamReplica<S> {
  private folded: FoldedStream<S>;

  /** The most recent records, kept for peers. */
  private relayWindow: LogRecord[] = [];

  /** Whether the relay window starts with the oldest record that the log retained at the start. */
  private isRelayWindowComplete = true;

  /** Whether the state was built from the record at offset 0 on, without a snapshot. */
  private hasFoldedFirstRecord = false;

  private readonly listeners = new Set<() => void>();

  private readonly stopController = new AbortController();

  /** Latest time at which the replica is known to have held every record of the log. */
  private upToDateAtMs = -Infinity;

  /** End of the log at the first successful read; -1 before it. */
  private initialEndOffset = -1;

  private tailTask: Promise<void> | undefined;

  private reading: Reading | undefined;

  /** Number of callers that wait for a change. */
  private waiters = 0;

  constructor(
    private readonly log: LogPort,
    readonly stream: string,
    private readonly fold: Fold<S>,
    private readonly clock: Clock,
    private readonly options: Options<S> = {},
  ) {
    this.folded = emptyFoldedStream(fold);
  }

  get state(): S {
    return this.folded.state;
  }

  get nextOffset(): number {
    return this.folded.nextOffset;
  }

  /** State and offset together, for checkpoints. */
  get snapshot(): FoldedStream<S> {
    return this.folded;
  }

  /** Whether this replica has folded every record of the stream since offset 0 itself. */
  get hasFullHistory(): boolean {
    return this.hasFoldedFirstRecord;
  }

  /** Whether all records that the log held at the first successful read have been folded. */
  get isCaughtUp(): boolean {
    return this.initialEndOffset >= 0 && this.folded.nextOffset >= this.initialEndOffset;
  }

  /** Returns the milliseconds since the replica last held the whole log; `Infinity` if never. */
  ageMs(): number {
    return this.clock.nowMs() - this.upToDateAtMs;
  }

  /** Records that a peer, whose view is `peerAgeMs` old, holds nothing newer than this replica. */
  confirmFresh(peerAgeMs: number): void {
    this.upToDateAtMs = Math.max(this.upToDateAtMs, this.clock.nowMs() - peerAgeMs);
    if (this.initialEndOffset < 0) this.initialEndOffset = this.folded.nextOffset;
  }

  /** Returns the verdict on a record; undefined if it is not folded or its id no longer kept. */
  verdict(id: string): RecordVerdict | undefined {
    return this.folded.recentVerdicts.get(id);
  }

  /**
   * Calls `listener` after every change and every read that reaches the end of the log. Returns a
   * function that removes the listener.
   */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Resolves to true once `condition` holds, or to false if the deadline passes first. Meanwhile reads that may be on a
   * silent connection are begun anew.
   */
  async waitUntil(condition: () => boolean, deadline: Deadline): Promise<boolean> {
    if (condition()) return true;
    return new Promise((resolve) => {
      const timeout = new AbortController();
      let remove = () => {};
      this.waiters += 1;
      void this.renewReads(timeout.signal);
      const finish = (isConditionMet: boolean) => {
        if (!timeout.signal.aborted) this.waiters -= 1;
        remove();
        timeout.abort();
        resolve(isConditionMet);
      };
      remove = this.onChange(() => condition() && finish(true));
      void this.clock.sleep(deadline.remainingMs(), timeout.signal).then(() => finish(condition()));
    });
  }

  /**
   * Folds records from the log or a peer. Ignores those that would leave a gap; only the very first
   * record may have any offset.
   */
  ingest(records: readonly LogRecord[]): void {
    const before = this.folded.nextOffset;
    records.forEach((record) => {
      const isFirst = this.folded.nextOffset === 0 && this.initialEndOffset < 0;
      if (record.offset !== this.folded.nextOffset && !isFirst) return;
      if (record.offset === 0) this.hasFoldedFirstRecord = true;
      this.folded = foldRecord(this.fold, this.folded, record);
      this.relayWindow.push(record);
    });
    if (this.relayWindow.length > MAX_RELAY_WINDOW_RECORDS) this.isRelayWindowComplete = false;
    this.relayWindow = this.relayWindow.slice(-MAX_RELAY_WINDOW_RECORDS);
    if (this.folded.nextOffset !== before) this.listeners.forEach((listener) => listener());
  }

  /** Returns the records from `fromOffset` on for a peer; none if the window does not hold them. */
  recordsFrom(fromOffset: number): readonly LogRecord[] {
    if (fromOffset === 0 && this.isRelayWindowComplete) return this.relayWindow;
    const first = this.relayWindow.findIndex((record) => record.offset === fromOffset);
    return first < 0 ? [] : this.relayWindow.slice(first);
  }

  /**
   * Returns a snapshot for a peer at `offset`, if the peer is behind and `recordsFrom` has no records for
   * it.
   */
  snapshotFor(offset: number): Snapshot | undefined {
    const { codec } = this.options;
    const isBehind = offset < this.folded.nextOffset;
    if (codec === undefined || !isBehind || this.recordsFrom(offset).length > 0) return undefined;
    return codec.encode(this.folded);
  }

  /** Restores the snapshot of a peer if it is intact and further on. */
  restoreFromSnapshot(snapshot: Snapshot): void {
    const folded = this.options.codec?.decode(snapshot);
    folded?.ifJust((decoded) => this.restore(decoded));
  }

  /** Replaces the state by one that is further on. Ignores an older one. */
  restore(folded: FoldedStream<S>): void {
    if (folded.nextOffset <= this.folded.nextOffset) return;
    this.folded = folded;
    this.relayWindow = [];
    this.isRelayWindowComplete = false;
    this.hasFoldedFirstRecord = false;
    this.listeners.forEach((listener) => listener());
  }

  /** Starts to follow the log. */
  start(): void {
    this.tailTask ??= this.tail();
  }

  /** Stops following the log and waits for the read in progress. */
  async stop(): Promise<void> {
    this.stopController.abort();
    this.reading?.end();
    await this.tailTask;
  }

  private async tail(): Promise<void> {
    const { signal } = this.stopController;
    let failures = 0;
    while (!signal.aborted) {
      const read = await this.readOnce();
      failures = read ? 0 : failures + 1;
      if (!read) await this.clock.sleep(backoffMs(failures, RETRY_BASE_MS, RETRY_MAX_MS), signal);
    }
  }

  /**
   * Ends reads that would be answered late or never, until `signal` is aborted: one that began to wait for long before
   * somebody waited, as it cannot be told whether its connection is silent, and one whose wait is over.
   */
  private async renewReads(signal: AbortSignal): Promise<void> {
    for (;;) {
      await this.clock.sleep(USUAL_ARRIVAL_MS, signal);
      if (signal.aborted) return;
      const { reading } = this;
      if (reading !== undefined && this.mayBeSilent(reading)) reading.end();
    }
  }

  private mayBeSilent({ beganMs, waitMs }: Reading): boolean {
    const hasLongWait = waitMs > DEFAULT_LONG_POLL_MS;
    return hasLongWait || this.clock.nowMs() > beganMs + waitMs + READ_OVERDUE_MS;
  }

  /** How long the next read waits for a record; not long while somebody waits for the replica. */
  private get nextWaitMs(): number {
    const { longPollMs = DEFAULT_LONG_POLL_MS } = this.options;
    if (!this.isCaughtUp) return 0;
    return this.waiters > 0 ? Math.min(DEFAULT_LONG_POLL_MS, longPollMs) : longPollMs;
  }

  /** Reads a batch; the read can be ended by `reading.end`. */
  private async readBatch(from: number): Promise<Maybe<LogBatch>> {
    const waitMs = this.nextWaitMs;
    const renewal = new AbortController();
    this.reading = { beganMs: this.clock.nowMs(), waitMs, end: () => renewal.abort() };
    const read = await this.log.read(this.stream, from, waitMs, renewal.signal);
    this.reading = undefined;
    return read;
  }

  /** Reads and folds one batch. Returns false if the log was unreachable or a gap remains. */
  private async readOnce(): Promise<boolean> {
    const from = this.folded.nextOffset;
    const startedMs = this.clock.nowMs();
    const read = await this.readBatch(from);
    if (read.isNothing()) return false;
    const batch = read.unsafeCoerce();
    if (batch.firstOffset > this.folded.nextOffset && !(await this.recoverGap(batch.firstOffset))) {
      return false;
    }
    if (this.initialEndOffset < 0) this.initialEndOffset = batch.endOffset;
    this.ingest(batch.records);
    if (this.folded.nextOffset >= batch.endOffset) {
      this.upToDateAtMs = Math.max(this.upToDateAtMs, startedMs);
      this.listeners.forEach((listener) => listener());
    }
    return true;
  }

  /**
   * Skips records that have expired. Returns true if the state has reached `firstOffset`, the
   * oldest record that the log retains.
   */
  private async recoverGap(firstOffset: number): Promise<boolean> {
    const { recover } = this.options;
    if (recover === undefined) {
      // Streams without checkpoints are designed so that expired records do not matter.
      this.folded = { ...this.folded, nextOffset: firstOffset };
      return true;
    }
    const recovered = await recover();
    if (recovered !== undefined) this.restore(recovered);
    return this.folded.nextOffset >= firstOffset;
  }
}

export default StreamReplica;
