import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

const IDLE_SWEEP_INTERVAL_MS = 50;

/** An HTTP listener that can be closed without cutting a request. */
class HttpListener {
  private readonly server: Server;

  private constructor(
    handler: RequestListener,
    private readonly host: string,
  ) {
    this.server = createServer(handler);
  }

  static async open(address: string, handler: RequestListener): Promise<HttpListener> {
    const [host, port] = address.split(':');
    const listener = new HttpListener(handler, host);
    await new Promise<void>((resolve, reject) => {
      listener.server.once('error', reject);
      listener.server.listen(Number(port), host, resolve);
    });
    return listener;
  }

  get url(): string {
    const { port } = this.server.address() as AddressInfo;
    return `http://${this.host}:${port}`;
  }

  /** Takes no more connections and resolves when the last request has been answered. */
  async close(): Promise<void> {
    const sweepTimer = setInterval(
      () => this.server.closeIdleConnections(),
      IDLE_SWEEP_INTERVAL_MS,
    );
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    clearInterval(sweepTimer);
  }

  /** Breaks every connection. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

export default HttpListener;
