import { type Maybe, Nothing } from 'purify-ts';
import { AppendResult, type HttpLog, type LogBatch, type LogPort } from '@wisteriapath/log-client';

/** A log client of one instance that can be disconnected from the log. */
class DisconnectableLog implements LogPort {
  private isDisconnected = false;

  private readonly abortControllers = new Set<AbortController>();

  constructor(private readonly log: HttpLog) {}

  setDisconnected(isDisconnected: boolean): void {
    this.isDisconnected = isDisconnected;
    if (isDisconnected) this.abortControllers.forEach((abortController) => abortController.abort());
  }

  append(stream: string, payloads: readonly string[]): Promise<AppendResult> {
    if (this.isDisconnected) return Promise.resolve(AppendResult.NotAppended);
    return this.log.append(stream, payloads);
  }

  async read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Maybe<LogBatch>> {
    if (this.isDisconnected) return Nothing;
    const abortController = new AbortController();
    this.abortControllers.add(abortController);
    const anySignal = AbortSignal.any([
      abortController.signal,
      ...(signal === undefined ? [] : [signal]),
    ]);
    const read = await this.log.read(stream, fromOffset, waitMs, anySignal);
    this.abortControllers.delete(abortController);
    return read;
  }

  close(): Promise<void> {
    return this.log.close();
  }
}

export default DisconnectableLog;
