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

  /** What `finish` writes behind a write that is in progress; undefined before it is called. */
  private lastText: Buffer | undefined;

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
    const hasText = this.lastText === undefined ? this.source.hasText() : this.lastText.length > 0;
    return this.unwritten.length === 0 && !hasText;
  }

  /** Tries to write what is left, unless a write is in progress. */
  flush(): void {
    if (this.isWriting || this.isDone) return;
    if (this.unwritten.length === 0) this.unwritten = this.takeText();
    this.isWriting = true;
    this.writeUnwritten();
  }

  /**
   * Writes all that there is now, before the process exits, and nothing that comes later: a write that is in progress at the exit
   * may cost its exit code. Gives up if there has been no room for 0.2 s.
   */
  async finish(): Promise<void> {
    let isOver = false;
    const cancel = afterRunningTime(FINISH_TIMEOUT_MS, () => {
      isOver = true;
    });
    this.lastText = Buffer.from(this.source.take());
    this.flush();
    while ((this.isWriting || !this.isDone) && !isOver) {
      await sleep(FINISH_POLL_INTERVAL_MS);
      this.flush();
    }
    cancel();
  }

  /** Returns the next text: that of the source, or the rest of the last one once `finish` has been called. */
  private takeText(): Buffer {
    const { lastText } = this;
    if (lastText === undefined) return Buffer.from(this.source.take());
    this.lastText = NO_BYTES;
    return lastText;
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
