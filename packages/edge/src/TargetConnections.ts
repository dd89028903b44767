import { type Client, type Dispatcher, Pool } from 'undici';
import {
  ConnectionUse,
  framingOf,
  ImpossibleStatusError,
  ResponseFraming,
  TrackedClient,
  type TrackedDispatchOptions,
} from '@wisteriapath/response-ends';
import ExchangeEnd from './ExchangeEnd';
import type HeaderRecord from './HeaderRecord';

interface TargetRequest {
  /** `host:port` of the target. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer;
  /** The id that the target repeats in its answers. */
  readonly exchangeId: string;
  /** Asked just before the first byte is sent, as a connection may have had to be opened first. */
  readonly maySend: () => boolean;
}

/** The callbacks for a response as it arrives. */
interface ResponseHandler {
  /** Returns false if the response must not be accepted, as it belongs to another request or is not valid. */
  onHeaders(status: number, headers: HeaderRecord): boolean;
  /**
   * Returns false if no further data should come until `resume` is called. More may come where the target closes the connection
   * after the response.
   */
  onData(chunk: Buffer): boolean;
}

/** An exchange in progress. */
interface Exchange {
  /** Resolves when the exchange has ended; never rejects. */
  readonly ended: Promise<ExchangeEnd>;
  /** Code of the error with which the exchange ended; empty if there was none. */
  readonly errorCode: string;
  /** Whether the request was handed to an established connection, so that bytes of it may have been sent. */
  readonly mayHaveSent: boolean;
  /** Whether the answer may be a copy of the answer to an earlier request. */
  readonly isAmbiguous: boolean;
  /** Ends the exchange; at once, with nothing sent now or later, if it has not been handed to a connection. */
  abort(): void;
  /** Continues the flow of data after `onData` returned false. */
  resume(): void;
}

const CONNECT_TIMEOUT_MS = 500;
/** Maximum number of interim responses, such as early hints, before the final one. */
const MAX_INTERIM = 8;
/** Idle time after which a connection is closed if the target announces none. */
const DEFAULT_IDLE_TIMEOUT_MS = 1_200;
/** Longest idle time that a target may announce. */
const MAX_IDLE_TIMEOUT_MS = 60_000;
/** Time by which a connection is closed earlier than the target would close it. */
const IDLE_MARGIN_MS = 300;

const CLIENT_OPTIONS = {
  connectTimeoutMs: CONNECT_TIMEOUT_MS,
  keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
  keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
  keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
  headersTimeout: 0,
  bodyTimeout: 0,
} satisfies Client.Options & { connectTimeoutMs: number };

const originOf = (address: string): string => `http://${address}`;

const createClient = (origin: string | URL): TrackedClient =>
  new TrackedClient(origin, CLIENT_OPTIONS);

/** Whether the target closes the connection after this response. */
const closesConnection = (framing: ResponseFraming, { connection }: HeaderRecord): boolean =>
  framing === ResponseFraming.Close || /\bclose\b/i.test(String(connection ?? ''));

/** The pools of connections to targets; a connection carries one exchange at a time, and no id twice. */
class TargetConnections {
  private readonly pools = new Map<string, Pool>();

  /** Sends a request and passes the response to a handler. */
  send(request: TargetRequest, handler: ResponseHandler): Exchange {
    let controller: Dispatcher.DispatchController | undefined;
    let isAborted = false;
    let isRejected = false;
    let isWithheld = false;
    let interim = 0;
    let framing = ResponseFraming.None;
    let mayPause = true;
    const connectionUse = new ConnectionUse();
    let settle: (end: ExchangeEnd) => void = () => {};
    const ended = new Promise<ExchangeEnd>((resolve) => {
      settle = resolve;
    });
    const abort = () => {
      if (isAborted) return;
      isAborted = true;
      if (controller !== undefined) {
        controller.abort(new Error('exchange aborted by this instance'));
        return;
      }
      // The HTTP client reports the end only once the connection has opened or failed, and is then told to send nothing.
      isWithheld = true;
      settle(ExchangeEnd.Withheld);
    };
    let errorCode = '';
    const failure = (error: NodeJS.ErrnoException): ExchangeEnd => {
      errorCode = error.code ?? error.name;
      if (isRejected || error instanceof ImpossibleStatusError) return ExchangeEnd.Rejected;
      if (isWithheld) return ExchangeEnd.Withheld;
      if (isAborted) return ExchangeEnd.Aborted;
      return connectionUse.mayHaveSent ? ExchangeEnd.Broken : ExchangeEnd.NotSent;
    };
    const dispatch: Dispatcher.DispatchHandler = {
      onRequestStart: (started) => {
        controller = started;
        isWithheld ||= !request.maySend();
        if (isWithheld) started.abort(new Error('the request must not be sent any more'));
      },
      onResponseStart: (_, status, headers) => {
        if (status < 200) {
          interim += 1;
          if (interim > MAX_INTERIM) controller?.abort(new Error('too many interim responses'));
          return;
        }
        framing = framingOf(request.method, status, headers);
        // The HTTP client fails, and never ends the exchange, if a connection that is to be closed ends during a pause.
        mayPause = !closesConnection(framing, headers);
        if (handler.onHeaders(status, headers)) return;
        isRejected = true;
        controller?.abort(new Error('response rejected by its handler'));
      },
      onResponseData: (started, chunk) => {
        if (!handler.onData(chunk) && mayPause) started.pause();
      },
      onResponseEnd: () => {
        if (framing !== ResponseFraming.Close) settle(ExchangeEnd.Complete);
        // The HTTP client reports such a response as complete even if its connection was reset.
        else settle(connectionUse.hasEndedInOrder ? ExchangeEnd.Closed : ExchangeEnd.Broken);
      },
      onResponseError: (_, error) => settle(failure(error)),
    };
    try {
      const { method, path, headers, body, exchangeId } = request;
      const options: TrackedDispatchOptions = {
        connectionUse,
        exchangeId,
        method,
        path,
        headers,
        body: body.length === 0 ? null : body,
      };
      // Throws if the address is not valid.
      this.poolOf(request.address).dispatch(options, dispatch);
    } catch (error) {
      settle(failure(error as NodeJS.ErrnoException));
    }
    return {
      ended,
      get errorCode() {
        return errorCode;
      },
      get mayHaveSent() {
        return connectionUse.mayHaveSent && !isWithheld;
      },
      get isAmbiguous() {
        return connectionUse.isAmbiguous;
      },
      abort,
      resume: () => controller?.resume(),
    };
  }

  /** Closes the connections to all addresses except the given ones. */
  retain(addresses: ReadonlySet<string>): void {
    this.pools.forEach((pool, address) => {
      if (addresses.has(address)) return;
      this.pools.delete(address);
      void pool.close();
    });
  }

  /** Closes the connections to an address as they become idle. */
  retire(address: string): void {
    const pool = this.pools.get(address);
    this.pools.delete(address);
    void pool?.close();
  }

  /** Destroys all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  private poolOf(address: string): Pool {
    const known = this.pools.get(address);
    if (known !== undefined) return known;
    // Without a limit, so that no request waits for a connection: whoever sends keeps to the limit.
    const pool = new Pool(originOf(address), { connections: null, factory: createClient });
    this.pools.set(address, pool);
    return pool;
  }
}

export default TargetConnections;
