import { stringify } from 'logfmt';
import type { EventLog } from '@wisteriapath/fleet';
import type LogOutput from './LogOutput';
import OutputWriter from './OutputWriter';
import openLogOutput from './openLogOutput';

const FLUSH_INTERVAL_MS = 100;
/** Size of the buffer beyond which lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 262_144;

/** An event log that writes one logfmt line for each event to standard output, outside of request handling. */
class LineLog implements EventLog {
  private lines: string[] = [];

  private bufferedBytes = 0;

  private droppedLines = 0;

  private timer: NodeJS.Timeout | undefined;

  private readonly writer: OutputWriter;

  constructor(
    private readonly instance: string,
    output: LogOutput = openLogOutput(),
  ) {
    this.writer = new OutputWriter(output, {
      hasText: () => this.lines.length > 0,
      take: () => this.takeLines(),
      onWritten: () => this.countBuffered(),
    });
  }

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

  /** Writes the buffered lines, before the process exits. Gives up if nobody reads them, or by `limitMs` on the monotonic clock. */
  async close(limitMs = Infinity): Promise<void> {
    await this.writer.finish(limitMs);
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private schedule(): void {
    this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  private flush(): void {
    this.timer = undefined;
    this.writer.flush();
  }

  private takeLines(): string {
    if (this.droppedLines > 0) {
      const count = this.droppedLines;
      this.droppedLines = 0;
      const fields = { instance: this.instance, event: 'lines_left_out', count };
      this.lines.push(`${stringify(fields)}\n`);
    }
    const text = this.lines.join('');
    this.lines = [];
    return text;
  }

  private countBuffered(): void {
    const { writer, lines } = this;
    this.bufferedBytes = lines.reduce((size, line) => size + line.length, writer.unwrittenBytes);
    if (!writer.isDone) this.schedule();
  }
}

export default LineLog;
