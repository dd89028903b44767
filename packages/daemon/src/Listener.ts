import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

const IDLE_SWEEP_MS = 50;

/** An HTTP listener that can be closed without cutting a request. */
class Listener {
  private readonly server: Server;

  private constructor(
    handler: RequestListener,
    private readonly host: string,
  ) {
    this.server = createServer(handler);
  }

  static async open(address: string, handler: RequestListener): Promise<Listener> {
    const [host, port] = address.split(':');
    const listener = new Listener(handler, host);
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
    const sweep = setInterval(() => this.server.closeIdleConnections(), IDLE_SWEEP_MS);
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    clearInterval(sweep);
  }

  /** Breaks every connection. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

export default Listener;
