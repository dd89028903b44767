import { write } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { stringify } from 'logfmt';
import type { EventLog } from '@wisteriapath/fleet';

const STDOUT = 1;
const FLUSH_EVERY_MS = 100;
/** Bytes that may wait to be written; lines beyond are counted and left out. */
const MOST_WAITING_BYTES = 262_144;
/** Time that a write under way may take as the process ends. */
const CLOSE_MS = 500;
const CLOSE_LOOK_MS = 5;

/** Writes one line of key=value pairs for each event, off the path of requests. */
class LineLog implements EventLog {
  private lines: string[] = [];

  private waitingBytes = 0;

  private leftOut = 0;

  private isWriting = false;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly instance: string) {}

  event(name: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    if (this.waitingBytes > MOST_WAITING_BYTES) {
      this.leftOut += 1;
      return;
    }
    const time = new Date().toISOString();
    const line = `${stringify({ time, instance: this.instance, event: name, ...fields })}\n`;
    this.lines.push(line);
    this.waitingBytes += line.length;
    this.timer ??= setTimeout(() => this.flush(), FLUSH_EVERY_MS);
  }

  /** Writes what waits, as the process is about to end. */
  async close(): Promise<void> {
    clearTimeout(this.timer);
    const giveUpAtMs = Date.now() + CLOSE_MS;
    while (this.isWriting && Date.now() < giveUpAtMs) await sleep(CLOSE_LOOK_MS);
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
    if (this.leftOut > 0) {
      const count = this.leftOut;
      this.leftOut = 0;
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
      const isRest = error === null && from + written < bytes.length;
      if (isRest) {
        this.writeAll(bytes, from + written, done);
        return;
      }
      // A failed write is given up: there is no other place to report it.
      this.isWriting = false;
      this.waitingBytes = this.lines.reduce((sum, line) => sum + line.length, 0);
      if (this.lines.length > 0) this.timer ??= setTimeout(() => this.flush(), FLUSH_EVERY_MS);
      done();
    });
  }
}

export default LineLog;
