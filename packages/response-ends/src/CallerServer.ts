import { type IncomingMessage, Server, type ServerOptions, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate as passTurn } from 'node:timers/promises';
import CallerConnection from './CallerConnection';
import CloseReason from './CloseReason';
import ConnectionInput from './ConnectionInput';
import type ClosedConnection from './ClosedConnection';
import type ConnectionLimits from './ConnectionLimits';
import ConnectionState from './ConnectionState';
import EndReason from './EndReason';
import HeldAnswers from './HeldAnswers';
import InputScheduler from './InputScheduler';
import ReceivedPart from './ReceivedPart';
import type UnansweredRequest from './UnansweredRequest';
import type UnreadableBytes from './UnreadableBytes';
import chooseEvicted from './chooseEvicted';
import refusalOf from './refusalOf';

/** Answers a request, at once or later. The server may have answered it before: bytes that cannot be read come after its head. */
type Handle = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** Error code for a connection that the caller ends inside a request. */
const EARLY_END = 'HPE_INVALID_EOF_STATE';
/** Error code of Node.js for a request that is not received in time. */
const RECEIVE_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
const EXPECTATION_FAILED = 417;
/** Promises nothing: the request may have run. */
const BAD_GATEWAY = 502;
const NO_LIMITS: ConnectionLimits = {
  connections: Infinity,
  requestsInConnection: Infinity,
  requests: Infinity,
  unreadBytes: Infinity,
};
/** Turns of the event loop without input after which none waits: one accepts a connection, the next reads its request. */
const QUIET_TURNS = 3;
/** Each turn accepts one connection, so these empty a full backlog. */
const MAX_TURNS = 1_024;

const rethrow = (error: Error): void => {
  throw error;
};

/**
 * An HTTP server that knows which requests of each connection are under way: it writes a status of its own on a connection, or
 * closes it as idle, only while there are none, and once it has read what had arrived before.
 *
 * @example
 * const server = new CallerServer({ requestTimeout: 0 }, handle, ({ code }) => log.event('caller_unreadable', { code }));
 */
class CallerServer extends Server {
  private static readonly servers = new WeakMap<Socket, CallerServer>();

  private readonly callerConnections = new Map<Socket, CallerConnection>();

  private readonly answers = new HeldAnswers();

  private readonly scheduler = new InputScheduler();

  private limits = NO_LIMITS;

  private onClosed: ((closed: ClosedConnection) => void) | null = null;

  private onUnanswered: ((unanswered: UnansweredRequest) => void) | null = null;

  private onFailed = rethrow;

  /** Number of requests that are under way. */
  private requestCount = 0;

  /** Number of connections and requests so far. */
  private arrivals = 0;

  constructor(
    options: ServerOptions,
    private readonly handle: Handle,
    private readonly onUnreadable: (bytes: UnreadableBytes) => void,
  ) {
    super(options);
    this.on('connection', (socket) => this.trackConnection(socket));
    this.on('request', (request, response) => {
      // Behind the last response of its connection it could not be answered, so that it must not run.
      if (this.callerConnections.get(request.socket)?.isLastBegun) {
        this.tellDropped(request, EndReason.BehindLastResponse);
        return;
      }
      if (!this.trackRequest(request, response)) return;
      this.answers.add(request, () => {
        void this.answer(request, response);
      });
    });
    this.on('timeout', (socket) => {
      void this.closeIfSilent(socket);
    });
    this.on('checkExpectation', (request, response) => {
      if (!this.trackRequest(request, response)) return;
      response.writeHead(EXPECTATION_FAILED).end();
    });
    this.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.refuse(socket as Socket, error.code ?? error.message);
    });
  }

  /** Returns the server that has read a request; undefined if another kind of server has. */
  static of({ socket }: IncomingMessage): CallerServer | undefined {
    return CallerServer.servers.get(socket);
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.callerConnections.size;
  }

  /** Whether a connection has ever been accepted. */
  get hasAccepted(): boolean {
    return this.arrivals > 0;
  }

  /** Whether there are connections on which nothing has arrived. */
  get hasUnused(): boolean {
    return [...this.callerConnections.values()].some(({ isUnused }) => isUnused);
  }

  /** Sets what callers may use from now on; `onClosed` is told what is closed for it. */
  limitUse(limits: ConnectionLimits, onClosed: (closed: ClosedConnection) => void): void {
    this.limits = limits;
    this.onClosed = onClosed;
  }

  /** Tells of requests that were read, and whose callers get no whole answer though they have not left. */
  watchUnanswered(onUnanswered: (unanswered: UnansweredRequest) => void): void {
    this.onUnanswered = onUnanswered;
  }

  /** Tells of errors of handlers, which end no request but their own. Without it, they are unhandled rejections. */
  watchFailures(onFailed: (error: Error) => void): void {
    this.onFailed = onFailed;
  }

  /** The requests that are under way. */
  get requests(): readonly IncomingMessage[] {
    return [...this.callerConnections.values()].flatMap(({ requests }) => requests);
  }

  /** Takes note of why the connection of a request is about to be ended; does not end it. */
  noteEnd({ socket }: IncomingMessage, reason: EndReason, detail = ''): void {
    this.callerConnections.get(socket)?.noteEnd(reason, detail);
  }

  /** Sets the size of heads above which requests on new connections are refused (431). */
  limitHeads(bytes: number): void {
    // Node.js reads the property of its option for each new connection; the types do not name it.
    Object.assign(this, { maxHeaderSize: bytes });
  }

  /** Whether no request has arrived on the connection of a request behind it: its response may be the connection's last. */
  isLastRequest(request: IncomingMessage, response: ServerResponse): boolean {
    return this.callerConnections.get(request.socket)?.isLast(response) ?? true;
  }

  /**
   * Resolves once what had arrived before is handled, in the part of a turn of the event loop that follows the reading of
   * sockets. A timer may come before the reading, and what it closes would be reset beside unread requests.
   */
  async handlePendingInput(): Promise<void> {
    let quietTurns = 0;
    for (let turn = 0; quietTurns < QUIET_TURNS && turn < MAX_TURNS; turn += 1) {
      const { arrivals } = this;
      await passTurn();
      const isQuiet = this.arrivals === arrivals && !this.scheduler.hasFresh;
      quietTurns = isQuiet ? quietTurns + 1 : 0;
    }
  }

  /**
   * Accepts the connections that wait, then no more; answers what arrives meanwhile after that. Callers that are answered connect
   * again at once, so their connections would wait to be accepted as the port is closed.
   */
  async stopAccepting(): Promise<void> {
    this.answers.hold();
    await this.handlePendingInput();
    this.close();
    this.answers.release();
  }

  /** Closes connections without a request under way, soon. Node.js would also close those whose last response is still being sent. */
  override closeIdleConnections(): void {
    void this.closeWithoutRequest((connection) => connection.isIdle);
  }

  /** Closes connections without a request under way, also those that have not carried any. */
  closeUnusedConnections(): Promise<void> {
    return this.closeWithoutRequest((connection) => connection.isIdle || connection.isUnused);
  }

  /** Refuses the requests that have not been received in full, and closes their connections, also those that were answered early. */
  async refuseReceiving(): Promise<void> {
    await this.handlePendingInput();
    this.callerConnections.forEach((connection) => connection.limitLinger());
    [...this.callerConnections.entries()]
      .filter(([, connection]) => connection.isReceiving)
      .forEach(([socket]) => this.refuse(socket, RECEIVE_TIMEOUT));
  }

  /** Closes all connections, whatever they carry. */
  override closeAllConnections(): void {
    this.callerConnections.forEach((connection) => connection.noteEnd(EndReason.ServerClosed));
    super.closeAllConnections();
  }

  private async closeWithoutRequest(
    mayClose: (connection: CallerConnection) => boolean,
  ): Promise<void> {
    await this.handlePendingInput();
    [...this.callerConnections.values()].filter(mayClose).forEach((connection) => {
      this.closeIdle(connection);
    });
  }

  private closeIdle(connection: CallerConnection): void {
    connection.close(() => this.tellClosed(CloseReason.CrossedClose, 0));
  }

  /**
   * Closes a connection that has been silent for too long without a request under way, unless bytes have arrived on it meanwhile.
   * Those before may have been no request: the parser skips empty lines.
   */
  private async closeIfSilent(socket: Socket): Promise<void> {
    const { bytesRead } = socket;
    await this.handlePendingInput();
    const connection = this.callerConnections.get(socket);
    if (connection === undefined || connection.underWay > 0 || connection.hasUnread) return;
    if (socket.bytesRead === bytesRead) this.closeIdle(connection);
  }

  /** Bytes that were no request have ended the timeout of an idle connection. */
  private limitSilence({ state, socket }: CallerConnection): void {
    if (!socket.destroyed && state === ConnectionState.Idle && socket.timeout === 0) {
      socket.setTimeout(this.keepAliveTimeout);
    }
  }

  private trackConnection(socket: Socket): void {
    const { scheduler } = this;
    scheduler.noteArrival();
    const input = new ConnectionInput(socket, () => this.receive(input));
    const connection = new CallerConnection(input, () => scheduler.remove(input));
    input.onParsed = () => this.limitSilence(connection);
    this.callerConnections.set(socket, connection);
    CallerServer.servers.set(socket, this);
    this.arrivals += 1;
    socket.once('close', () => {
      scheduler.remove(input);
      this.callerConnections.delete(socket);
      // After the listeners of Node.js for the same event.
      process.nextTick(() => connection.closeResponses());
    });
    if (this.callerConnections.size > this.limits.connections) this.evictConnection();
  }

  /** Closes the connection that loses least by it. It counts until its descriptor is free. */
  private evictConnection(): void {
    const evicted = chooseEvicted(this.callerConnections.values());
    if (evicted === undefined) return;
    this.tellClosed(CloseReason.TooManyConnections, this.limits.connections);
    this.callerConnections.delete(evicted.socket);
    evicted.evict(EndReason.TooManyConnections);
  }

  /** Whether no request that has arrived completely would be lost with a connection. */
  private mayClose(socket: Socket): boolean {
    return this.callerConnections.get(socket)?.state !== ConnectionState.Answering;
  }

  /** Takes bytes of a connection, and closes the one whose bytes cost most while too many wait to be parsed. */
  private receive(input: ConnectionInput): void {
    const { scheduler, limits } = this;
    scheduler.add(input);
    while (scheduler.unreadBytes > limits.unreadBytes) {
      const heaviest = scheduler.heaviest(({ socket }) => this.mayClose(socket));
      if (heaviest === undefined) return;
      this.tellClosed(CloseReason.TooMuchUnread, limits.unreadBytes);
      scheduler.remove(heaviest);
      this.callerConnections.get(heaviest.socket)?.evict(EndReason.TooMuchUnread);
    }
  }

  /** Counts a request as under way; returns false if its connection is closed, as it carries too many. */
  private trackRequest(request: IncomingMessage, response: ServerResponse): boolean {
    this.arrivals += 1;
    const connection = this.callerConnections.get(request.socket);
    // The parser reads on to the end of the bytes that it was given, also once their connection was closed.
    if (request.socket.destroyed || connection === undefined) {
      const reason = connection?.end?.reason;
      if (reason !== undefined) this.tellDropped(request, reason);
      return false;
    }
    const startedMs = performance.now();
    response.once('close', () => {
      this.requestCount -= 1;
      if (response.writableFinished) return;
      const tookMs = performance.now() - startedMs;
      const got = response.headersSent ? ReceivedPart.Half : ReceivedPart.Nothing;
      this.tellUnanswered(connection, { request, got, tookMs });
    });
    connection.track(request, response);
    this.requestCount += 1;
    const { requestsInConnection, requests } = this.limits;
    const isLong = connection.underWay > requestsInConnection;
    const isOneOfTooMany = this.requestCount > requests && connection.underWay > 1;
    if (!isLong && !isOneOfTooMany) return true;
    if (isLong) this.tellClosed(CloseReason.TooManyPipelined, requestsInConnection);
    else this.tellClosed(CloseReason.TooManyRequests, requests);
    connection.noteEnd(isLong ? EndReason.TooManyPipelined : EndReason.TooManyRequests);
    request.socket.destroy();
    return false;
  }

  /** Answers a request whose handler fails with a status that promises nothing, as it may have run; breaks off what has begun. */
  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.handle(request, response);
    } catch (error) {
      this.endFailed(request, response, error as Error);
      this.onFailed(error as Error);
    }
  }

  private endFailed(request: IncomingMessage, response: ServerResponse, { message }: Error): void {
    if (response.writableEnded) return;
    if (!response.headersSent) {
      response.writeHead(BAD_GATEWAY, { connection: 'close', 'content-length': '0' }).end();
      return;
    }
    this.noteEnd(request, EndReason.HandlerFailed, message);
    response.destroy();
  }

  private tellUnanswered(
    connection: CallerConnection,
    exchange: Pick<UnansweredRequest, 'request' | 'got' | 'tookMs'>,
  ): void {
    const { end, underWay } = connection;
    if (end === undefined || end.reason === EndReason.BodyUnfinished) return;
    this.onUnanswered?.({ ...exchange, ...end, underWay });
  }

  /** Tells of a request that is not handled, as its connection ends. */
  private tellDropped(request: IncomingMessage, reason: EndReason): void {
    const underWay = this.callerConnections.get(request.socket)?.underWay ?? 0;
    const got = ReceivedPart.Nothing;
    this.onUnanswered?.({ request, reason, detail: '', got, tookMs: 0, underWay });
  }

  private tellClosed(reason: CloseReason, limit: number): void {
    this.onClosed?.({ reason, connections: this.connectionCount, limit });
  }

  private refuse(socket: Socket, code: string): void {
    const connection = this.callerConnections.get(socket);
    // The parser reports its error again with each further piece of data.
    if (connection === undefined || connection.hasRefused) return;
    const { underWay } = connection;
    const refusal = refusalOf(code);
    // A caller that closes its side has left, and waits for no answer.
    const hasLeft = code === EARLY_END && underWay > 0;
    if (refusal === undefined || hasLeft || !socket.writable) {
      if (refusal !== undefined && !hasLeft) connection.noteEnd(EndReason.Unreadable, code);
      socket.destroy();
      this.onUnreadable({ code, underWay, status: 0 });
      return;
    }
    const { status, reason } = refusal;
    const isSent = connection.refuse(status, reason);
    this.onUnreadable({ code, underWay, status: isSent ? status : 0 });
  }
}

export default CallerServer;
