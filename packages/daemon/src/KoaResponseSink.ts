import { once } from 'node:events';
import type { Context } from 'koa';
import type { ResponseSink } from '@wisteriapath/routing';

/** An answer through Koa's response, written straight to the socket. */
class KoaResponseSink implements ResponseSink {
  private readonly disconnect = new AbortController();

  constructor(private readonly context: Context) {
    const { res } = context;
    res.on('close', () => {
      if (!res.writableFinished) this.disconnect.abort();
    });
  }

  get headersSent(): boolean {
    return this.context.res.headersSent;
  }

  get disconnectSignal(): AbortSignal {
    return this.disconnect.signal;
  }

  begin(status: number, headers: Readonly<Record<string, string>>): void {
    this.context.respond = false;
    this.context.res.writeHead(status, headers);
  }

  async write(chunk: string | Buffer): Promise<void> {
    const { res } = this.context;
    if (res.write(chunk) || this.disconnect.signal.aborted) return;
    await once(res, 'drain', { signal: this.disconnect.signal }).catch(() => {});
  }

  end(): void {
    this.context.res.end();
  }

  abort(): void {
    this.context.res.destroy();
  }
}

export default KoaResponseSink;
