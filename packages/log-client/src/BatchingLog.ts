import type { Maybe } from 'purify-ts';
import type { Clock } from '@wisteriapath/model';
import type AppendResult from './AppendResult';
import type LogBatch from './LogBatch';
import type LogPort from './LogPort';

interface Waiting {
  readonly payloads: readonly string[];
  readonly settle: (result: AppendResult) => void;
}

const MAX_BATCH_RECORDS = 256;

/** Joins concurrent appends to one stream into one call at a time, spaced by a minimum interval. */
class BatchingLog implements LogPort {
  private readonly queues = new Map<string, Waiting[]>();

  private readonly active = new Set<string>();

  constructor(
    private readonly log: LogPort,
    private readonly clock: Clock,
    private readonly appendSpacingMs: number,
  ) {}

  append(stream: string, payloads: readonly string[]): Promise<AppendResult> {
    return new Promise((settle) => {
      const queue = this.queues.get(stream) ?? [];
      queue.push({ payloads, settle });
      this.queues.set(stream, queue);
      if (!this.active.has(stream)) void this.drain(stream, queue);
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

  private async drain(stream: string, queue: Waiting[]): Promise<void> {
    this.active.add(stream);
    while (queue.length > 0) {
      const batch = queue.splice(0, MAX_BATCH_RECORDS);
      const result = await this.log.append(
        stream,
        batch.flatMap((waiting) => waiting.payloads),
      );
      batch.forEach((waiting) => waiting.settle(result));
      await this.clock.sleep(this.appendSpacingMs);
    }
    this.active.delete(stream);
  }
}

export default BatchingLog;
