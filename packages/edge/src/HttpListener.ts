import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http';
import type { EventLog } from '@wisteriapath/fleet';
import { CallerServer } from '@wisteriapath/response-ends';

/** Answers a request, at once or later. The server may have answered it before: bytes that cannot be read come after its head. */
type Handle = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

const BACKLOG = 1_024;

/** Lets an error of a handler end its own response, so that no request waits for an answer that does not come. */
const guard =
  (handle: Handle, address: string, log: EventLog) =>
  async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    try {
      await handle(request, response);
    } catch (error) {
      log.event('answer_failed', { address, error: (error as Error).stack ?? String(error) });
      if (!response.writableEnded) response.destroy();
    }
  };

/** An HTTP server that listens at one address. */
class HttpListener {
  private constructor(readonly server: Server) {}

  /** Opens a listener; `address` is `host:port`. Rejects if the port cannot be bound. */
  static async open(
    address: string,
    options: ServerOptions,
    log: EventLog,
    handle: Handle,
  ): Promise<HttpListener> {
    const answer = guard(handle, address, log);
    const server = new CallerServer(
      options,
      (request, response) => {
        void answer(request, response);
      },
      ({ code, underWay, status }) => {
        log.event('caller_unreadable', { address, code, under_way: underWay, status });
      },
    );
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
