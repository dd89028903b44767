import { setTimeout as sleep } from 'node:timers/promises';
import { stringify } from 'logfmt';
import type { EventLog } from '@wisteriapath/fleet';
import type LogOutput from './LogOutput';
import afterRunningTime from './afterRunningTime';
import openLogOutput from './openLogOutput';

const FLUSH_INTERVAL_MS = 100;
/** Size of the buffer beyond which lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 262_144;
/** Time, in which this process could run, for which `close` tries to write what is buffered. */
const CLOSE_TIMEOUT_MS = 200;
const CLOSE_POLL_INTERVAL_MS = 5;
const NO_BYTES = Buffer.alloc(0);

/** An event log that writes one logfmt line for each event to standard output, outside of request handling. */
class LineLog implements EventLog {
  private lines: string[] = [];

  /** Bytes of lines whose write is in progress, or is to be tried again. */
  private unwritten: Buffer = NO_BYTES;

  private bufferedBytes = 0;

  private droppedLines = 0;

  private isWriting = false;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly instance: string,
    private readonly output: LogOutput = openLogOutput(),
  ) {}

  /** Adds a line to the buffer; drops it if the buffer is full. */
  event(name: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) {
      this.droppedLines += 1;
      return;
    }
    const time = new Date().toISOString();
    const line = `${stringify({ time, instance: this.instance, event: name, ...fields })}\n`;
    this.lines.push(line);
    this.bufferedBytes += line.length;
    this.schedule();
  }

  /** Writes the buffered lines, before the process exits. Gives up if nobody reads them. */
  async close(): Promise<void> {
    let isOver = false;
    const cancel = afterRunningTime(CLOSE_TIMEOUT_MS, () => {
      isOver = true;
    });
    this.flush();
    while (this.hasBuffered && !isOver) {
      await sleep(CLOSE_POLL_INTERVAL_MS);
      this.flush();
    }
    cancel();
    clearTimeout(this.timer);
  }

  private get hasBuffered(): boolean {
    return this.lines.length > 0 || this.unwritten.length > 0;
  }

  private schedule(): void {
    this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  private flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isWriting || !this.hasBuffered) return;
    if (this.unwritten.length === 0) this.unwritten = this.takeLines();
    this.isWriting = true;
    this.writeUnwritten();
  }

  private takeLines(): Buffer {
    if (this.droppedLines > 0) {
      const count = this.droppedLines;
      this.droppedLines = 0;
      const fields = { instance: this.instance, event: 'lines_left_out', count };
      this.lines.push(`${stringify(fields)}\n`);
    }
    const bytes = Buffer.from(this.lines.join(''));
    this.lines = [];
    return bytes;
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
      this.bufferedBytes = this.lines.reduce(
        (sum, line) => sum + line.length,
        this.unwritten.length,
      );
      if (this.hasBuffered) this.schedule();
    });
  }
}

export default LineLog;
