import { once } from 'node:events';
import type { Context } from 'koa';
import { CallerServer, EndReason } from '@wisteriapath/response-ends';
import type { ResponseSink } from '@wisteriapath/routing';

/**
 * A response that is written through Koa's context, directly to the Node.js response so that it can be
 * streamed.
 */
class KoaResponseSink implements ResponseSink {
  private readonly disconnection = new AbortController();

  constructor(private readonly context: Context) {
    const { res } = context;
    res.on('close', () => {
      if (!res.writableFinished) this.disconnection.abort();
    });
  }

  get headersSent(): boolean {
    return this.context.res.headersSent;
  }

  get disconnectSignal(): AbortSignal {
    return this.disconnection.signal;
  }

  begin(status: number, headers: Readonly<Record<string, string>>): void {
    this.context.respond = false;
    this.context.res.writeHead(status, headers);
  }

  async write(chunk: string | Buffer): Promise<void> {
    const { res } = this.context;
    if (res.write(chunk) || this.disconnection.signal.aborted) return;
    await once(res, 'drain', { signal: this.disconnection.signal }).catch(() => {});
  }

  end(): void {
    this.context.res.end();
  }

  abort(): void {
    const { req, res } = this.context;
    CallerServer.of(req)?.noteEnd(req, EndReason.AnswerBroken);
    // Without chunks, the end of the connection would end the response.
    if (req.httpVersionMinor === 0) req.socket.resetAndDestroy();
    else res.destroy();
  }
}

export default KoaResponseSink;
