import { buildConnector, type Dispatcher, Pool } from 'undici';
import { isUnsent } from '@wisteriapath/model';
import ExchangeEnd from './ExchangeEnd';
import type HeaderRecord from './HeaderRecord';

interface Call {
  /** `host:port` of the target. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Name, value, name, value. */
  readonly headers: string[];
  readonly body: Buffer;
}

/** What is done with an answer as it arrives. */
interface AnswerHandler {
  /** False if the answer belongs to another request. */
  begin(status: number, headers: HeaderRecord): boolean;
  /** False if nothing more can be taken for now. */
  data(chunk: Buffer): boolean;
}

/** A running exchange. */
interface Exchange {
  readonly ended: Promise<ExchangeEnd>;
  abort(): void;
  /** Takes further data after `data` answered false. */
  resume(): void;
}

const CONNECT_TIMEOUT_MS = 500;
/** Most interim answers, such as early hints, before the final one. */
const MOST_INTERIM = 8;
/** Idle time after which a connection is closed where the target does not say. */
const IDLE_MS = 1_200;
/** Time by which connections are closed before the target would. */
const IDLE_MARGIN_MS = 300;

/** Connections to targets, each with one exchange at a time. */
class TargetConnections {
  private readonly pools = new Map<string, Pool>();

  /** True while the reset of a connection is being handled. */
  private isResetting = false;

  private readonly connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

  constructor(private readonly connectionsPerTarget: () => number) {}

  send(call: Call, handler: AnswerHandler): Exchange {
    const pool = this.poolOf(call.address);
    let controller: Dispatcher.DispatchController | undefined;
    let isAborted = false;
    let isCrossed = false;
    let isSent = false;
    let interim = 0;
    let settle: (end: ExchangeEnd) => void = () => {};
    const ended = new Promise<ExchangeEnd>((resolve) => {
      settle = resolve;
    });
    const abort = () => {
      if (isAborted) return;
      isAborted = true;
      controller?.abort(new Error('ended by this side'));
    };
    const failure = (error: NodeJS.ErrnoException): ExchangeEnd => {
      if (isCrossed) return ExchangeEnd.Crossed;
      if (!isSent || isUnsent(error.code)) {
        return isAborted ? ExchangeEnd.Aborted : ExchangeEnd.NotSent;
      }
      return isAborted ? ExchangeEnd.Aborted : ExchangeEnd.Broken;
    };
    const dispatch: Dispatcher.DispatchHandler = {
      onRequestStart: (started) => {
        controller = started;
        if (isAborted) started.abort(new Error('ended by this side'));
        else isSent = true;
      },
      onResponseStart: (_, status, headers) => {
        if (status < 200) {
          interim += 1;
          if (interim > MOST_INTERIM) controller?.abort(new Error('interim answers without end'));
          return;
        }
        if (handler.begin(status, headers)) return;
        isCrossed = true;
        controller?.abort(new Error('answer of another request'));
      },
      onResponseData: (started, chunk) => {
        if (!handler.data(chunk)) started.pause();
      },
      // The client takes an answer without length for whole even if its connection was reset.
      onResponseEnd: () => settle(this.isResetting ? ExchangeEnd.Broken : ExchangeEnd.Complete),
      onResponseError: (_, error) => settle(failure(error)),
    };
    try {
      const { method, path, headers, body } = call;
      const options: Dispatcher.DispatchOptions = {
        method,
        path,
        headers,
        body: body.length === 0 ? null : body,
      };
      pool.dispatch(options, dispatch);
    } catch (error) {
      settle(failure(error as NodeJS.ErrnoException));
    }
    return { ended, abort, resume: () => controller?.resume() };
  }

  /** Closes connections to targets that are no longer known. */
  retain(addresses: ReadonlySet<string>): void {
    this.pools.forEach((pool, address) => {
      if (addresses.has(address)) return;
      this.pools.delete(address);
      void pool.close();
    });
  }

  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  /** Opens a connection whose errors are noticed before the client handles them. */
  private connect(options: buildConnector.Options, done: buildConnector.Callback): void {
    this.connector(options, (...result: Parameters<buildConnector.Callback>) => {
      const [, socket] = result;
      socket?.on('error', () => this.noteReset());
      // A reset that arrives together with data is reported as a plain end; the socket then has no peer.
      socket?.on('end', () => {
        if (socket.remoteAddress === undefined) this.noteReset();
      });
      done(...result);
    });
  }

  /** Marks what the client concludes from this event, in the same turn, as cut short. */
  private noteReset(): void {
    this.isResetting = true;
    queueMicrotask(() => {
      this.isResetting = false;
    });
  }

  private poolOf(address: string): Pool {
    const known = this.pools.get(address);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${address}`, {
      connections: this.connectionsPerTarget(),
      pipelining: 1,
      connect: (options, done) => this.connect(options, done),
      keepAliveTimeout: IDLE_MS,
      keepAliveMaxTimeout: 60_000,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.pools.set(address, pool);
    return pool;
  }
}

export default TargetConnections;
