import type { Maybe } from 'purify-ts';
import type { Clock } from '@wisteriapath/model';
import type AppendResult from './AppendResult';
import type LogBatch from './LogBatch';
import type LogPort from './LogPort';

/** An append call that waits to be sent. */
interface PendingAppend {
  readonly payloads: readonly string[];
  readonly resolve: (result: AppendResult) => void;
}

const MAX_APPENDS_PER_BATCH = 256;

/**
 * A log that combines concurrent appends to a stream. Each stream has at most one append call in
 * flight, and the next call starts no earlier than `appendSpacingMs` after the end of the last one.
 */
class BatchingLog implements LogPort {
  private readonly queues = new Map<string, PendingAppend[]>();

  /** Streams whose queue is being sent. */
  private readonly drainingStreams = new Set<string>();

  constructor(
    private readonly log: LogPort,
    private readonly clock: Clock,
    private readonly appendSpacingMs: number,
  ) {}

  append(stream: string, payloads: readonly string[]): Promise<AppendResult> {
    return new Promise((resolve) => {
      const queue = this.queues.get(stream) ?? [];
      queue.push({ payloads, resolve });
      this.queues.set(stream, queue);
      if (!this.drainingStreams.has(stream)) void this.drain(stream, queue);
    });
  }

  read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Maybe<LogBatch>> {
    return this.log.read(stream, fromOffset, waitMs, signal);
  }

  private async drain(stream: string, queue: PendingAppend[]): Promise<void> {
    this.drainingStreams.add(stream);
    while (queue.length > 0) {
      const batch = queue.splice(0, MAX_APPENDS_PER_BATCH);
      const result = await this.log.append(
        stream,
        batch.flatMap((pending) => pending.payloads),
      );
      batch.forEach((pending) => pending.resolve(result));
      await this.clock.sleep(this.appendSpacingMs);
    }
    this.drainingStreams.delete(stream);
  }
}

export default BatchingLog;
