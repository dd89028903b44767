import type { Maybe } from 'purify-ts';
import type { Clock } from '@wisteriapath/model';
import type AppendResult from './AppendResult';
import type LogBatch from './LogBatch';
import type LogPort from './LogPort';

interface PendingAppend {
  readonly payloads: readonly string[];
  readonly resolve: (result: AppendResult) => void;
}

const MAX_APPENDS_PER_BATCH = 256;

/** Joins concurrent appends to one stream into one call at a time, spaced by a minimum interval. */
class BatchingLog implements LogPort {
  private readonly queues = new Map<string, PendingAppend[]>();

  private readonly drainingStreams = new Set<string>();

  constructor(
    private readonly log: LogPort,
    private readonly clock: Clock,
    private readonly appendSpacingMs: number,
  ) {}

  append(stream: string, payloads: readonly string[]): Promise<AppendResult> {
    return new Promise((settle) => {
      const queue = this.queues.get(stream) ?? [];
      queue.push({ payloads, resolve: settle });
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
        batch.flatMap((waiting) => waiting.payloads),
      );
      batch.forEach((waiting) => waiting.resolve(result));
      await this.clock.sleep(this.appendSpacingMs);
    }
    this.drainingStreams.delete(stream);
  }
}

export default BatchingLog;
