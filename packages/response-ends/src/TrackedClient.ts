import type { Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import ConnectionEnd from './ConnectionEnd';
import type ConnectionHistory from './ConnectionHistory';
import type TrackedDispatchOptions from './TrackedDispatchOptions';
import watchHandover from './watchHandover';

interface Options extends Omit<Client.Options, 'connect' | 'pipelining'> {
  readonly connectTimeoutMs: number;
}

/**
 * An HTTP client with one connection and one exchange at a time, which tells what its connection carried and how it ended. It replaces
 * the connection before an exchange that must not go over it.
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

  /** Returns a handler that is otherwise the given one, and records the exchange when it is handed to a connection. */
  private tracked(
    { connectionUse, exchangeId }: TrackedDispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): Dispatcher.DispatchHandler {
    return watchHandover(handler, () => {
      connectionUse?.begin(this, exchangeId);
      this.history.record(exchangeId);
    });
  }
}

export default TrackedClient;
