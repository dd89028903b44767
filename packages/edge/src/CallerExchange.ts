import type { IncomingMessage, ServerResponse } from 'node:http';
import { errorAnswers, type ServeError } from '@wisteriapath/model';
import type Dialect from './Dialect';

/** The answer to one request of a caller, begun once and ended once. */
class CallerExchange {
  private readonly left = new AbortController();

  constructor(
    readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly dialect: Dialect,
    /** Whether the caller is to close the connection after this answer. */
    private readonly closesAfter: () => boolean,
  ) {
    response.on('close', () => {
      if (!response.writableFinished) this.left.abort();
    });
  }

  /** Aborts once the caller has left. */
  get gone(): AbortSignal {
    return this.left.signal;
  }

  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  begin(status: number, headers: Readonly<Record<string, string | string[]>>): void {
    if (this.closesAfter()) this.response.shouldKeepAlive = false;
    this.response.writeHead(status, headers);
  }

  /** False if the caller takes nothing more for now. */
  write(bytes: Buffer, drained: () => void): boolean {
    if (bytes.length === 0) return true;
    if (this.response.write(bytes)) return true;
    this.response.once('drain', drained);
    return false;
  }

  end(bytes?: Buffer): void {
    this.response.end(bytes);
  }

  /** Ends an answer that cannot be completed so that it does not look complete. */
  breakOff(): void {
    this.response.destroy();
  }

  /** Answers with an error of the system's own. */
  refuse(error: ServeError, attemptId: string): void {
    if (this.gone.aborted) return;
    if (this.hasBegun) {
      this.breakOff();
      return;
    }
    const { status, retryAfterMs } = errorAnswers[error.kind];
    const waitMs = error.retryAfterMs ?? retryAfterMs;
    const body = Buffer.from(JSON.stringify({ error: error.kind, message: error.message }));
    const retry: Record<string, string> =
      waitMs === null ? {} : { 'retry-after': (waitMs / 1_000).toFixed(2) };
    // The rest of a body that was not read would be taken for the next request.
    if (!this.request.complete) this.response.shouldKeepAlive = false;
    this.begin(status, {
      ...this.dialect.errorHeaders(attemptId),
      'content-type': 'application/json',
      'content-length': String(body.length),
      ...retry,
    });
    this.end(body);
  }
}

export default CallerExchange;
