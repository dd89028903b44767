import { Just, type Maybe, Nothing } from 'purify-ts';
import type { Clock } from '@wisteriapath/model';
import {
  AppendResult,
  type LogBatch,
  type LogPort,
  type LogRecord,
} from '@wisteriapath/log-client';

const ANSWER_MS = 5;
/** Time that a read may take beyond its wait, as with the client of the log. */
const READ_MARGIN_MS = 2_000;

/** A read that is under way. */
interface Read {
  isSilent: boolean;
}

/** A log of one stream for several instances, whose reads in progress can go silent while new calls work. */
class SilentReadLog implements LogPort {
  /** How often the log was read. */
  reads = 0;

  private readonly records: LogRecord[] = [];

  private readonly inProgress = new Set<Read>();

  private readonly waiting = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Lets all reads in progress go silent. */
  silenceReads(): void {
    this.inProgress.forEach((read) => Object.assign(read, { isSilent: true }));
  }

  async append(_stream: string, payloads: readonly string[]): Promise<AppendResult> {
    await this.clock.sleep(ANSWER_MS);
    payloads.forEach((payload) => {
      this.records.push({ offset: this.records.length, atMs: this.clock.nowMs(), payload });
    });
    [...this.waiting].forEach((wake) => wake());
    return AppendResult.Appended;
  }

  async read(
    _stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Maybe<LogBatch>> {
    const { clock } = this;
    this.reads += 1;
    const read = { isSilent: false };
    this.inProgress.add(read);
    const beganMs = clock.nowMs();
    await clock.sleep(ANSWER_MS, signal);
    if (fromOffset === this.records.length) await this.waitForRecord(waitMs, signal);
    if (read.isSilent) {
      await clock.sleep(beganMs + waitMs + READ_MARGIN_MS - clock.nowMs(), signal);
    }
    this.inProgress.delete(read);
    if (read.isSilent || signal?.aborted === true) return Nothing;
    return Just({
      firstOffset: 0,
      endOffset: this.records.length,
      records: this.records.slice(fromOffset),
    });
  }

  private async waitForRecord(waitMs: number, signal?: AbortSignal): Promise<void> {
    const woken = new AbortController();
    const wake = () => woken.abort();
    this.waiting.add(wake);
    signal?.addEventListener('abort', wake);
    await this.clock.sleep(waitMs, woken.signal);
    this.waiting.delete(wake);
  }
}

export default SilentReadLog;
