import { Just, type Maybe, Nothing } from 'purify-ts';
import { request } from 'undici';
import { readBytes } from '@wisteriapath/byte-accumulator';
import { ConnectionUse, createTrackedAgent } from '@wisteriapath/response-ends';
import AppendResult from './AppendResult';
import type LogBatch from './LogBatch';
import type LogPort from './LogPort';

const APPEND_TIMEOUT_MS = 2_000;
/** Time that a read may take beyond the wait for a first record. */
const READ_TIMEOUT_MARGIN_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Far beyond a batch of the log, whose size the log decides. */
const MAX_BATCH_BYTES = 64 * 1_024 * 1_024;

const OK = 200;
/** Statuses with which the log refuses an append without writing it. */
const REFUSAL_STATUSES = new Set([429, 503]);

/**
 * A log client that uses the HTTP protocol of docs/platform.md. Its answers bear no ids, so that a connection carries nothing more once
 * a call on it was refused: a copy of the refusal would be taken for the answer to the next call.
 */
class HttpLog implements LogPort {
  private readonly agent = createTrackedAgent({
    connections: null,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });

  constructor(private readonly baseUrl: string) {}

  async append(stream: string, payloads: readonly string[]): Promise<AppendResult> {
    const connectionUse = new ConnectionUse();
    const options = {
      connectionUse,
      dispatcher: this.agent,
      method: 'POST',
      body: JSON.stringify({ payloads }),
      headers: { 'content-type': 'application/json' },
      headersTimeout: APPEND_TIMEOUT_MS,
      bodyTimeout: APPEND_TIMEOUT_MS,
    };
    try {
      const response = await request(`${this.baseUrl}/streams/${stream}/records`, options);
      if (response.statusCode !== OK) connectionUse.retireConnection();
      await response.body.dump();
      if (response.statusCode === OK) return AppendResult.Appended;
      return REFUSAL_STATUSES.has(response.statusCode)
        ? AppendResult.NotAppended
        : AppendResult.Unknown;
    } catch {
      return connectionUse.mayHaveSent ? AppendResult.Unknown : AppendResult.NotAppended;
    }
  }

  async read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Maybe<LogBatch>> {
    const url = `${this.baseUrl}/streams/${stream}/records?from=${fromOffset}&waitMs=${waitMs}`;
    const timeoutMs = waitMs + READ_TIMEOUT_MARGIN_MS;
    const connectionUse = new ConnectionUse();
    const options = {
      connectionUse,
      dispatcher: this.agent,
      signal,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    };
    try {
      const response = await request(url, options);
      if (response.statusCode !== OK) {
        connectionUse.retireConnection();
        await response.body.dump();
        return Nothing;
      }
      const batch = await readBytes(response.body, MAX_BATCH_BYTES);
      return Just(JSON.parse(batch.toString()) as LogBatch);
    } catch {
      return Nothing;
    }
  }

  /** Closes all connections and aborts the calls in progress. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

export default HttpLog;
