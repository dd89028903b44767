import type { IncomingMessage, ServerOptions, ServerResponse } from 'node:http';
import type { EventLog } from '@wisteriapath/fleet';
import type { Clock } from '@wisteriapath/model';
import { CallerServer } from '@wisteriapath/response-ends';
import nameSome from './nameSome';

/** Answers a request, at once or later. The server may have answered it before: bytes that cannot be read come after its head. */
type Handle = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** Returns what names a request in the log. */
type IdOf = (request: IncomingMessage) => string;

const BACKLOG = 1_024;
/** Time for requests that are on their way as the port is closed. */
const CROSSING_MS = 50;
/** Time for the first request on a connection that has just been accepted: a round trip between regions. */
const FIRST_REQUEST_MS = 150;
/** Time for callers to close their side, and for requests that are being received. */
const CLOSE_TIMEOUT_MS = 300;
const POLL_INTERVAL_MS = 10;

/** An HTTP server that listens at one address. */
class HttpListener {
  private constructor(
    readonly server: CallerServer,
    private readonly address: string,
    private readonly log: EventLog,
    private readonly idOf: IdOf,
  ) {}

  /** Opens a listener; `address` is `host:port`, `idOf` names requests in the log. Rejects if the port cannot be bound. */
  static async open(
    address: string,
    options: ServerOptions,
    log: EventLog,
    handle: Handle,
    idOf: IdOf = ({ url }) => url ?? '',
  ): Promise<HttpListener> {
    const server = new CallerServer(options, handle, ({ code, underWay, status }) => {
      log.event('caller_unreadable', { address, code, under_way: underWay, status });
    });
    server.watchFailures(({ stack, message }) => {
      log.event('answer_failed', { address, error: stack ?? message });
    });
    const [host = '', port = '0'] = address.split(':');
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host, port: Number(port), backlog: BACKLOG }, resolve);
    });
    server.removeAllListeners('error').on('error', (error: NodeJS.ErrnoException) => {
      log.event('listener_error', { address, code: error.code ?? error.message });
    });
    return new HttpListener(server, address, log, idOf);
  }

  /** Closes connections without a request under way, once what has arrived is handled. Call it again, as further ones become idle. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /**
   * Accepts what has arrived and nothing more, answers it, and closes the connections that carry no request. Resolves once all
   * connections are closed, after `CLOSE_TIMEOUT_MS` or at `limitMs` on the monotonic clock at the latest.
   */
  async finish(clock: Clock, limitMs: number): Promise<void> {
    const { server } = this;
    const endMs = Math.min(limitMs, clock.nowMs() + CLOSE_TIMEOUT_MS);
    const leftMs = () => Math.max(0, endMs - clock.nowMs());
    await server.stopAccepting();
    await clock.sleep(Math.min(CROSSING_MS, leftMs()));
    const firstRequestMs = clock.nowMs() + FIRST_REQUEST_MS - CROSSING_MS;
    while (server.hasUnused && clock.nowMs() < firstRequestMs && leftMs() > 0) {
      await clock.sleep(Math.min(POLL_INTERVAL_MS, leftMs()));
    }
    while (server.connectionCount > 0 && leftMs() > 0) {
      await server.closeUnusedConnections();
      await clock.sleep(Math.min(POLL_INTERVAL_MS, leftMs()));
    }
    const count = server.connectionCount;
    if (count === 0) return;
    const requests = nameSome(server.requests.map(this.idOf));
    this.log.event('connections_left', { address: this.address, count, requests });
  }

  /** Closes the server and all connections. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

export default HttpListener;
