import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import ConnectionHistory from './ConnectionHistory';

/** Opens the connections of one client, one after the other, and tells what the newest one carried and how it ended. */
class ConnectionEnd {
  private isInOrder = false;

  private newest: Socket | undefined;

  private newestHistory = new ConnectionHistory();

  private readonly connector: buildConnector.connector;

  constructor(connectTimeoutMs: number) {
    this.connector = buildConnector({ timeout: connectTimeoutMs });
  }

  /** Whether the server has closed the connection in order; false while it is open, and after a reset. */
  get isOrderly(): boolean {
    return this.isInOrder;
  }

  /** The newest connection that was established. */
  get socket(): Socket | undefined {
    return this.newest;
  }

  /** What the newest connection has carried. */
  get history(): ConnectionHistory {
    return this.newestHistory;
  }

  /** Opens a connection, with a listener that runs before those of the HTTP client. */
  readonly connect: buildConnector.connector = (options, done) => {
    this.connector(options, (...result: Parameters<buildConnector.Callback>) => {
      const [, socket] = result;
      // Undefined, not null as its type says, if the connection failed.
      if (socket) this.watch(socket);
      done(...result);
    });
  };

  private watch(socket: Socket): void {
    this.isInOrder = false;
    this.newest = socket;
    this.newestHistory = new ConnectionHistory();
    socket.on('end', () => {
      // A reset that arrives together with data is reported as an ordinary end, but the socket has no peer address.
      this.isInOrder = socket.remoteAddress !== undefined;
    });
  }
}

export default ConnectionEnd;
