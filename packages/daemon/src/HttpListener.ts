import { once } from 'node:events';
import type { RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  CallerServer,
  type ClosedConnection,
  type ConnectionLimits,
  type UnansweredRequest,
  type UnreadableBytes,
} from '@wisteriapath/response-ends';

const IDLE_SWEEP_INTERVAL_MS = 50;
/** Time for requests that are being received as the listener closes. */
const RECEIVE_TIMEOUT_MS = 2_000;

/** An HTTP server that can be closed without aborting requests in flight. */
class HttpListener {
  private readonly server: CallerServer;

  private constructor(
    handler: RequestListener,
    private readonly host: string,
    onUnreadable: (bytes: UnreadableBytes) => void,
  ) {
    this.server = new CallerServer({}, handler, onUnreadable);
  }

  /** Starts to listen on `host:port`; rejects if the address cannot be bound. */
  static async open(
    address: string,
    handler: RequestListener,
    onUnreadable: (bytes: UnreadableBytes) => void,
  ): Promise<HttpListener> {
    const [host, port] = address.split(':');
    const listener = new HttpListener(handler, host, onUnreadable);
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

  /** Tells of requests that were read, and whose callers get no whole answer though they have not left. */
  watchUnanswered(onUnanswered: (unanswered: UnansweredRequest) => void): void {
    this.server.watchUnanswered(onUnanswered);
  }

  /** Sets what callers may use; `onClosed` is told of each connection that is closed for it. */
  limitUse(limits: ConnectionLimits, onClosed: (closed: ClosedConnection) => void): void {
    this.server.limitUse(limits, onClosed);
  }

  /**
   * Stops accepting connections, once those that wait have been accepted, and resolves when the last request has been
   * answered. Closes connections that carry no request in the meantime, and refuses requests that are not received in time.
   */
  async close(): Promise<void> {
    const closed = once(this.server, 'close');
    await this.server.stopAccepting();
    const sweepTimer = setInterval(() => {
      void this.server.closeUnusedConnections();
    }, IDLE_SWEEP_INTERVAL_MS);
    const refusalTimer = setInterval(() => {
      void this.server.refuseReceiving();
    }, RECEIVE_TIMEOUT_MS);
    await closed;
    clearInterval(sweepTimer);
    clearInterval(refusalTimer);
  }

  /** Closes the server and every connection, also those with requests in flight. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

export default HttpListener;
