import type { Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import ConnectionEnd from './ConnectionEnd';
import type TrackedDispatchOptions from './TrackedDispatchOptions';

interface Options extends Omit<Client.Options, 'connect' | 'pipelining'> {
  readonly connectTimeoutMs: number;
}

/**
 * An HTTP client with one connection and one exchange at a time, which tells how its connection ended.
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

  override dispatch(options: TrackedDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(options, options.connectionUse?.assign(this, handler) ?? handler);
  }
}

export default TrackedClient;
