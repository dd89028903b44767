import { once } from 'node:events';
import type { Context } from 'koa';
import type { ResponseSink } from '@wisteriapath/routing';

/** An answer through Koa's response, written straight to the socket. */
class KoaSink implements ResponseSink {
  private readonly left = new AbortController();

  constructor(private readonly context: Context) {
    const { res } = context;
    res.on('close', () => {
      if (!res.writableFinished) this.left.abort();
    });
  }

  get headersSent(): boolean {
    return this.context.res.headersSent;
  }

  get disconnectSignal(): AbortSignal {
    return this.left.signal;
  }

  begin(status: number, headers: Readonly<Record<string, string>>): void {
    this.context.respond = false;
    this.context.res.writeHead(status, headers);
  }

  async write(chunk: string | Buffer): Promise<void> {
    const { res } = this.context;
    if (res.write(chunk) || this.left.signal.aborted) return;
    await once(res, 'drain', { signal: this.left.signal }).catch(() => {});
  }

  end(): void {
    this.context.res.end();
  }

  abort(): void {
    this.context.res.destroy();
  }
}

export default KoaSink;
