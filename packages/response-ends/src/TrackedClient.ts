import type { Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import ConnectionEnd from './ConnectionEnd';
import type ConnectionHistory from './ConnectionHistory';
import ImpossibleStatusError from './ImpossibleStatusError';
import type TrackedDispatchOptions from './TrackedDispatchOptions';
import isPossibleStatus from './isPossibleStatus';
import watchExchange from './watchExchange';

interface Options extends Omit<Client.Options, 'connect' | 'pipelining'> {
  readonly connectTimeoutMs: number;
}

/**
 * An HTTP client with one connection and one exchange at a time, which tells what its connection carried and how it ended. It replaces
 * the connection before an exchange that must not go over it. An answer with a status that none can have ends its exchange without an
 * answer (`ImpossibleStatusError`), and closes its connection.
 *
 * @example
 * new Pool(origin, { factory: (url) => new TrackedClient(url, { connectTimeoutMs: 500 }) });
 */
class TrackedClient extends Client {
  private readonly connectionEnd: ConnectionEnd;

  constructor(origin: string | URL, { connectTimeoutMs, ...options }: Options) {
    const connectionEnd = new ConnectionEnd(connectTimeoutMs);
    super(origin, { ...options, pipelining: 1, connect: connectionEnd.connect });
    this.connectionEnd = connectionEnd;
  }

  /** Whether the server has closed the newest connection in order. */
  get hasEndedInOrder(): boolean {
    return this.connectionEnd.isOrderly;
  }

  /** The newest connection that was established. */
  get socket(): Socket | undefined {
    return this.connectionEnd.socket;
  }

  /** What the newest connection has carried. */
  get history(): ConnectionHistory {
    return this.connectionEnd.history;
  }

  override dispatch(options: TrackedDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    const { exchangeId, needsNewConnection = false } = options;
    const isIdle = this.stats.size === 0;
    // The client opens another one once this one has closed.
    if (isIdle && !this.history.mayCarry(exchangeId, needsNewConnection)) this.socket?.destroy();
    return super.dispatch(options, this.tracked(options, handler));
  }

  /** Returns a handler that is otherwise the given one, records the exchange when it is handed to a connection, and believes no impossible status. */
  private tracked(
    { connectionUse, exchangeId }: TrackedDispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): Dispatcher.DispatchHandler {
    return watchExchange(handler, {
      onHandover: () => {
        connectionUse?.begin(this, exchangeId);
        this.history.record(exchangeId);
      },
      onStatus: (status) => {
        if (!isPossibleStatus(status)) throw new ImpossibleStatusError(status);
      },
    });
  }
}

export default TrackedClient;
