import { type Maybe, Nothing } from 'purify-ts';
import { AppendResult, type HttpLog, type LogBatch, type LogPort } from '@wisteriapath/log-client';

/** A log that one instance can be cut off from. */
class CuttableLog implements LogPort {
  private cut = false;

  private readonly breakers = new Set<AbortController>();

  constructor(private readonly log: HttpLog) {}

  setCut(cut: boolean): void {
    this.cut = cut;
    if (cut) this.breakers.forEach((breaker) => breaker.abort());
  }

  append(stream: string, payloads: readonly string[]): Promise<AppendResult> {
    if (this.cut) return Promise.resolve(AppendResult.NotAppended);
    return this.log.append(stream, payloads);
  }

  async read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Maybe<LogBatch>> {
    if (this.cut) return Nothing;
    const breaker = new AbortController();
    this.breakers.add(breaker);
    const either = AbortSignal.any([breaker.signal, ...(signal === undefined ? [] : [signal])]);
    const read = await this.log.read(stream, fromOffset, waitMs, either);
    this.breakers.delete(breaker);
    return read;
  }

  close(): Promise<void> {
    return this.log.close();
  }
}

export default CuttableLog;
