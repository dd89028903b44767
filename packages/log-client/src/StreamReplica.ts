import type { Clock, Deadline } from '@wisteriapath/model';
import type Fold from './Fold';
import type Folded from './Folded';
import type LogPort from './LogPort';
import type LogRecord from './LogRecord';
import type RecordVerdict from './RecordVerdict';
import backoffMs from './backoffMs';
import emptyFolded from './emptyFolded';
import foldRecord from './foldRecord';

const LONG_POLL_MS = 1_000;
const RETRY_BASE_MS = 50;
const RETRY_CAP_MS = 1_000;
const RELAY_WINDOW_RECORDS = 1_024;

/** A folded copy of one stream, kept up to date by a tailing task and by peers. */
class StreamReplica<S> {
  private folded: Folded<S>;

  private relayWindow: LogRecord[] = [];

  private readonly listeners = new Set<() => void>();

  private readonly stopping = new AbortController();

  private freshAtMs = -Infinity;

  private logEndSeen = -1;

  private tailing: Promise<void> | undefined;

  constructor(
    private readonly log: LogPort,
    readonly stream: string,
    private readonly fold: Fold<S>,
    private readonly clock: Clock,
    /** Recovers from expired records: a fold up to some later offset, if one is to be had. */
    private readonly recover: () => Promise<Folded<S> | undefined> = async () => undefined,
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

  /** True once everything that the log held at the first successful read has been folded. */
  get caughtUp(): boolean {
    return this.logEndSeen >= 0 && this.folded.nextOffset >= this.logEndSeen;
  }

  /** Milliseconds since the replica last equalled the log's end, `Infinity` if never. */
  ageMs(): number {
    return this.clock.nowMs() - this.freshAtMs;
  }

  /** Notes that a peer whose view is `peerAgeMs` old holds nothing newer than this replica. */
  confirmFresh(peerAgeMs: number): void {
    this.freshAtMs = Math.max(this.freshAtMs, this.clock.nowMs() - peerAgeMs);
    if (this.logEndSeen < 0) this.logEndSeen = this.folded.nextOffset;
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
      const finish = (held: boolean) => {
        remove();
        timeout.abort();
        resolve(held);
      };
      remove = this.onChange(() => condition() && finish(true));
      void this.clock.sleep(deadline.remainingMs(), timeout.signal).then(() => finish(condition()));
    });
  }

  /** Folds records passed on by a peer; those that would leave a gap are ignored. */
  ingest(records: readonly LogRecord[]): void {
    const before = this.folded.nextOffset;
    records.forEach((record) => {
      if (record.offset !== this.folded.nextOffset) return;
      this.folded = foldRecord(this.fold, this.folded, record);
      this.relayWindow.push(record);
    });
    this.relayWindow = this.relayWindow.slice(-RELAY_WINDOW_RECORDS);
    if (this.folded.nextOffset !== before) this.listeners.forEach((listener) => listener());
  }

  /** Records from `fromOffset` on for a peer; empty if the window no longer holds them. */
  relay(fromOffset: number): readonly LogRecord[] {
    const first = this.relayWindow.findIndex((record) => record.offset === fromOffset);
    return first < 0 ? [] : this.relayWindow.slice(first);
  }

  /** Replaces the fold by one that is further on; an older one is ignored. */
  restore(folded: Folded<S>): void {
    if (folded.nextOffset <= this.folded.nextOffset) return;
    this.folded = folded;
    this.relayWindow = [];
    this.listeners.forEach((listener) => listener());
  }

  start(): void {
    this.tailing ??= this.tail();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.tailing;
  }

  private async tail(): Promise<void> {
    const { signal } = this.stopping;
    let failures = 0;
    while (!signal.aborted) {
      const read = await this.readOnce(signal);
      failures = read ? 0 : failures + 1;
      if (!read) await this.clock.sleep(backoffMs(failures, RETRY_BASE_MS, RETRY_CAP_MS), signal);
    }
  }

  private async readOnce(signal: AbortSignal): Promise<boolean> {
    const from = this.folded.nextOffset;
    const startedMs = this.clock.nowMs();
    const waitMs = this.caughtUp ? LONG_POLL_MS : 0;
    const read = await this.log.read(this.stream, from, waitMs, signal);
    if (read.isNothing()) return false;
    const batch = read.unsafeCoerce();
    if (batch.firstOffset > this.folded.nextOffset && !(await this.fillGap(batch.firstOffset))) {
      return false;
    }
    if (this.logEndSeen < 0) this.logEndSeen = batch.endOffset;
    this.ingest(batch.records);
    if (this.folded.nextOffset >= batch.endOffset) {
      this.freshAtMs = Math.max(this.freshAtMs, startedMs);
      this.listeners.forEach((listener) => listener());
    }
    return true;
  }

  private async fillGap(firstOffset: number): Promise<boolean> {
    const recovered = await this.recover();
    if (recovered !== undefined) this.restore(recovered);
    return this.folded.nextOffset >= firstOffset;
  }
}

export default StreamReplica;
