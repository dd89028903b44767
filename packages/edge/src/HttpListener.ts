import type { RequestListener, Server, ServerOptions } from 'node:http';
import type { EventLog } from '@wisteriapath/fleet';
import { CallerServer } from '@wisteriapath/response-ends';

const BACKLOG = 1_024;

/** An HTTP server that listens at one address. */
class HttpListener {
  private constructor(readonly server: Server) {}

  /** Opens a listener; `address` is `host:port`. Rejects if the port cannot be bound. */
  static async open(
    address: string,
    options: ServerOptions,
    log: EventLog,
    handle: RequestListener,
  ): Promise<HttpListener> {
    const server = new CallerServer(options, handle, ({ code, underWay, status }) => {
      log.event('caller_unreadable', { address, code, under_way: underWay, status });
    });
    const [host = '', port = '0'] = address.split(':');
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host, port: Number(port), backlog: BACKLOG }, resolve);
    });
    server.removeAllListeners('error').on('error', (error: NodeJS.ErrnoException) => {
      log.event('listener_error', { address, code: error.code ?? error.message });
    });
    return new HttpListener(server);
  }

  /** Stops accepting connections; open connections stay. */
  stopAccepting(): void {
    this.server.close();
  }

  /** Closes idle connections. Call it again, as further connections become idle. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Closes the server and all connections. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

export default HttpListener;
