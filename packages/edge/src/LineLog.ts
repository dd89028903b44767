import { write } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { stringify } from 'logfmt';
import type { EventLog } from '@wisteriapath/fleet';

const STDOUT = 1;
const FLUSH_INTERVAL_MS = 100;
/** Size of the buffer beyond which lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 262_144;
/** Time for which `close` waits for a write in progress. */
const CLOSE_TIMEOUT_MS = 500;
const CLOSE_POLL_INTERVAL_MS = 5;

/** An event log that writes one logfmt line for each event to standard output, outside of request handling. */
class LineLog implements EventLog {
  private lines: string[] = [];

  private bufferedBytes = 0;

  private droppedLines = 0;

  private isWriting = false;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly instance: string) {}

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
    this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  /** Writes the buffered lines, before the process exits. */
  async close(): Promise<void> {
    clearTimeout(this.timer);
    const deadlineMs = Date.now() + CLOSE_TIMEOUT_MS;
    while (this.isWriting && Date.now() < deadlineMs) await sleep(CLOSE_POLL_INTERVAL_MS);
    await new Promise<void>((resolve) => {
      this.flush(resolve);
    });
  }

  private flush(done: () => void = () => {}): void {
    this.timer = undefined;
    if (this.isWriting || this.lines.length === 0) {
      done();
      return;
    }
    if (this.droppedLines > 0) {
      const count = this.droppedLines;
      this.droppedLines = 0;
      this.lines.push(
        `${stringify({ instance: this.instance, event: 'lines_left_out', count })}\n`,
      );
    }
    const bytes = Buffer.from(this.lines.join(''));
    this.lines = [];
    this.isWriting = true;
    this.writeAll(bytes, 0, done);
  }

  private writeAll(bytes: Buffer, from: number, done: () => void): void {
    write(STDOUT, bytes, from, bytes.length - from, null, (error, written) => {
      const isPartial = error === null && from + written < bytes.length;
      if (isPartial) {
        this.writeAll(bytes, from + written, done);
        return;
      }
      // A failed write is not retried, and there is no other place to report it.
      this.isWriting = false;
      this.bufferedBytes = this.lines.reduce((sum, line) => sum + line.length, 0);
      if (this.lines.length > 0) this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
      done();
    });
  }
}

export default LineLog;
