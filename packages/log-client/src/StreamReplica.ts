import type { Clock, Deadline } from '@wisteriapath/model';
import type Fold from './Fold';
import type Folded from './Folded';
import type LogPort from './LogPort';
import type LogRecord from './LogRecord';
import type RecordVerdict from './RecordVerdict';
import type Snapshot from './Snapshot';
import type SnapshotCodec from './SnapshotCodec';
import backoffMs from './backoffMs';
import emptyFolded from './emptyFolded';
import foldRecord from './foldRecord';

const DEFAULT_LONG_POLL_MS = 1_000;
const RETRY_BASE_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;
const MAX_RELAY_WINDOW_RECORDS = 1_024;

interface Options<S> {
  /** Recovers from expired records: a fold up to some later offset, if one is to be had. */
  readonly recover?: () => Promise<Folded<S> | undefined>;
  /** How long one read waits for a record; the view of the log's end may be that old. */
  readonly longPollMs?: number;
  /** Lets peers take over the whole fold where they lack records. */
  readonly codec?: SnapshotCodec<S>;
}

/** A folded copy of one stream, kept up to date by a tailing task and by peers. */
class StreamReplica<S> {
  private folded: Folded<S>;

  private relayWindow: LogRecord[] = [];

  /** Whether the relay window begins with the first record that the log still held. */
  private isRelayWindowComplete = true;

  private hasFoldedFirstRecord = false;

  private readonly listeners = new Set<() => void>();

  private readonly stopController = new AbortController();

  private upToDateAtMs = -Infinity;

  private initialEndOffset = -1;

  private tailTask: Promise<void> | undefined;

  constructor(
    private readonly log: LogPort,
    readonly stream: string,
    private readonly fold: Fold<S>,
    private readonly clock: Clock,
    private readonly options: Options<S> = {},
  ) {
    this.folded = emptyFolded(fold);
  }

  get state(): S {
    return this.folded.state;
  }

  get nextOffset(): number {
    return this.folded.nextOffset;
  }

  /** The whole folded value, for checkpoints. */
  get snapshot(): Folded<S> {
    return this.folded;
  }

  /** True if every record that the stream ever had was folded one by one. */
  get hasWholeHistory(): boolean {
    return this.hasFoldedFirstRecord;
  }

  /** True once everything that the log held at the first successful read has been folded. */
  get caughtUp(): boolean {
    return this.initialEndOffset >= 0 && this.folded.nextOffset >= this.initialEndOffset;
  }

  /** Milliseconds since the replica last equalled the log's end, `Infinity` if never. */
  ageMs(): number {
    return this.clock.nowMs() - this.upToDateAtMs;
  }

  /** Notes that a peer whose view is `peerAgeMs` old holds nothing newer than this replica. */
  confirmFresh(peerAgeMs: number): void {
    this.upToDateAtMs = Math.max(this.upToDateAtMs, this.clock.nowMs() - peerAgeMs);
    if (this.initialEndOffset < 0) this.initialEndOffset = this.folded.nextOffset;
  }

  verdict(id: string): RecordVerdict | undefined {
    return this.folded.recentVerdicts.get(id);
  }

  /** Calls `listener` after every change; returns the function that removes it. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Resolves true once `condition` holds, false when the deadline passes first. */
  async waitUntil(condition: () => boolean, deadline: Deadline): Promise<boolean> {
    if (condition()) return true;
    return new Promise((resolve) => {
      const timeout = new AbortController();
      let remove = () => {};
      const finish = (isConditionMet: boolean) => {
        remove();
        timeout.abort();
        resolve(isConditionMet);
      };
      remove = this.onChange(() => condition() && finish(true));
      void this.clock.sleep(deadline.remainingMs(), timeout.signal).then(() => finish(condition()));
    });
  }

  /** Folds records passed on by a peer; those that would leave a gap are ignored. */
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

  /** Records from `fromOffset` on for a peer; empty if the window no longer holds them. */
  relay(fromOffset: number): readonly LogRecord[] {
    if (fromOffset === 0 && this.isRelayWindowComplete) return this.relayWindow;
    const first = this.relayWindow.findIndex((record) => record.offset === fromOffset);
    return first < 0 ? [] : this.relayWindow.slice(first);
  }

  /** The whole fold for a peer at `fromOffset` that `relay` has no records for. */
  snapshotFor(fromOffset: number): Snapshot | undefined {
    const { codec } = this.options;
    const isBehind = fromOffset < this.folded.nextOffset;
    if (codec === undefined || !isBehind || this.relay(fromOffset).length > 0) return undefined;
    return codec.encode(this.folded);
  }

  /** Takes over a peer's fold if it is whole and further on. */
  adopt(snapshot: Snapshot): void {
    const folded = this.options.codec?.decode(snapshot);
    folded?.ifJust((decoded) => this.restore(decoded));
  }

  /** Replaces the fold by one that is further on; an older one is ignored. */
  restore(folded: Folded<S>): void {
    if (folded.nextOffset <= this.folded.nextOffset) return;
    this.folded = folded;
    this.relayWindow = [];
    this.isRelayWindowComplete = false;
    this.hasFoldedFirstRecord = false;
    this.listeners.forEach((listener) => listener());
  }

  start(): void {
    this.tailTask ??= this.tail();
  }

  async stop(): Promise<void> {
    this.stopController.abort();
    await this.tailTask;
  }

  private async tail(): Promise<void> {
    const { signal } = this.stopController;
    let failures = 0;
    while (!signal.aborted) {
      const read = await this.readOnce(signal);
      failures = read ? 0 : failures + 1;
      if (!read)
        await this.clock.sleep(
          backoffMs(failures, RETRY_BASE_DELAY_MS, MAX_RETRY_DELAY_MS),
          signal,
        );
    }
  }

  private async readOnce(signal: AbortSignal): Promise<boolean> {
    const from = this.folded.nextOffset;
    const startedMs = this.clock.nowMs();
    const waitMs = this.caughtUp ? (this.options.longPollMs ?? DEFAULT_LONG_POLL_MS) : 0;
    const read = await this.log.read(this.stream, from, waitMs, signal);
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

  /** True once the fold stands at or beyond `firstOffset`, the oldest record still kept. */
  private async recoverGap(firstOffset: number): Promise<boolean> {
    const { recover } = this.options;
    if (recover === undefined) {
      // Streams without checkpoints are made so that expired records do not matter.
      this.folded = { ...this.folded, nextOffset: firstOffset };
      return true;
    }
    const recovered = await recover();
    if (recovered !== undefined) this.restore(recovered);
    return this.folded.nextOffset >= firstOffset;
  }
}

export default StreamReplica;
