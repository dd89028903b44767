import { Just, type Maybe, Nothing } from 'purify-ts';
import { Agent, request } from 'undici';
import { isUnsent } from '@wisteriapath/model';
import AppendResult from './AppendResult';
import type LogBatch from './LogBatch';
import type LogPort from './LogPort';

const APPEND_TIMEOUT_MS = 2_000;
const READ_MARGIN_MS = 2_000;
const CONNECTION_CHECK_MS = 1_000;

const OK = 200;
const REFUSALS = new Set([429, 503]);

/** The log over the HTTP protocol of docs/platform.md. */
class HttpLog implements LogPort {
  private readonly agent = new Agent({ connect: { timeout: CONNECTION_CHECK_MS }, pipelining: 1 });

  constructor(private readonly baseUrl: string) {}

  async append(stream: string, payloads: readonly string[]): Promise<AppendResult> {
    try {
      const answer = await request(`${this.baseUrl}/streams/${stream}/records`, {
        dispatcher: this.agent,
        method: 'POST',
        body: JSON.stringify({ payloads }),
        headers: { 'content-type': 'application/json' },
        headersTimeout: APPEND_TIMEOUT_MS,
        bodyTimeout: APPEND_TIMEOUT_MS,
      });
      await answer.body.dump();
      if (answer.statusCode === OK) return AppendResult.Appended;
      return REFUSALS.has(answer.statusCode) ? AppendResult.NotAppended : AppendResult.Unknown;
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      return isUnsent(code) ? AppendResult.NotAppended : AppendResult.Unknown;
    }
  }

  async read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Maybe<LogBatch>> {
    const url = `${this.baseUrl}/streams/${stream}/records?from=${fromOffset}&waitMs=${waitMs}`;
    const timeoutMs = waitMs + READ_MARGIN_MS;
    try {
      const answer = await request(url, {
        dispatcher: this.agent,
        signal,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      if (answer.statusCode !== OK) {
        await answer.body.dump();
        return Nothing;
      }
      return Just((await answer.body.json()) as LogBatch);
    } catch {
      return Nothing;
    }
  }

  /** Closes the connections; calls under way are ended. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

export default HttpLog;
