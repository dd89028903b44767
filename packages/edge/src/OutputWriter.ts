import { setTimeout as sleep } from 'node:timers/promises';
import type LogOutput from './LogOutput';
import afterRunningTime from './afterRunningTime';

/** Where the text comes from that is to be written. */
interface TextSource {
  /** Whether there is text that has not been taken. */
  readonly hasText: () => boolean;
  /** Returns the text that is to be written next, and does not return it again. */
  readonly take: () => string;
  /** Called when a write has ended, whatever came of it. */
  readonly onWritten: () => void;
}

/** Time, in which this process could run, for which `finish` tries to write. */
const FINISH_TIMEOUT_MS = 200;
const FINISH_POLL_INTERVAL_MS = 5;
const NO_BYTES = Buffer.alloc(0);

/** Writes text to an output, one write at a time, and what found no room again later. */
class OutputWriter {
  /** Bytes whose write is in progress, or is to be tried again. */
  private unwritten: Buffer = NO_BYTES;

  private isWriting = false;

  /** How often text may still be taken from the source. */
  private takesLeft = Infinity;

  private finished: Promise<void> | undefined;

  constructor(
    private readonly output: LogOutput,
    private readonly source: TextSource,
  ) {}

  /** Number of bytes that have been taken and not yet written. */
  get unwrittenBytes(): number {
    return this.unwritten.length;
  }

  /** Whether there is nothing left to write. */
  get isDone(): boolean {
    return this.unwritten.length === 0 && !this.source.hasText();
  }

  /** Tries to write what is left, unless a write is in progress. */
  flush(): void {
    if (this.isWriting) return;
    if (this.unwritten.length === 0) this.take();
    if (this.unwritten.length === 0) return;
    this.isWriting = true;
    this.writeUnwritten();
  }

  /**
   * Writes all that is there now, before the process exits, and nothing after it, as a process does not exit in order while a write is
   * in progress. Gives up if it has found no room for 0.2 s, or by `limitMs` on the monotonic clock, unless a write in progress holds
   * the exit. Called again, it waits for the same end.
   */
  finish(limitMs = Infinity): Promise<void> {
    this.finished ??= this.finishOnce(limitMs);
    return this.finished;
  }

  private async finishOnce(limitMs: number): Promise<void> {
    this.takesLeft = this.source.hasText() ? 1 : 0;
    let isOver = false;
    const cancel = afterRunningTime(FINISH_TIMEOUT_MS, () => {
      isOver = true;
    });
    this.flush();
    const isLate = () => performance.now() >= limitMs && !this.holdsExit;
    while ((this.takesLeft > 0 || this.unwritten.length > 0) && !isOver && !isLate()) {
      await sleep(FINISH_POLL_INTERVAL_MS);
      this.flush();
    }
    cancel();
  }

  private get holdsExit(): boolean {
    return this.isWriting && this.output.holdsExit === true;
  }

  private take(): void {
    if (this.takesLeft === 0 || !this.source.hasText()) return;
    this.takesLeft -= 1;
    this.unwritten = Buffer.from(this.source.take());
  }

  private writeUnwritten(): void {
    this.output.write(this.unwritten, (error, writtenBytes) => {
      // There is no other place to report the error.
      this.unwritten = error === null ? this.unwritten.subarray(writtenBytes) : NO_BYTES;
      if (writtenBytes > 0 && this.unwritten.length > 0) {
        this.writeUnwritten();
        return;
      }
      this.isWriting = false;
      this.source.onWritten();
    });
  }
}

export default OutputWriter;
