import type { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import type ConnectionInput from './ConnectionInput';
import ConnectionState from './ConnectionState';
import EndReason from './EndReason';

interface Linger {
  /** Time for which a caller may take what it is sent last, and go on sending, before its connection is destroyed. */
  readonly timeoutMs: number;
  /** Bytes that are read and discarded meanwhile. */
  readonly limitBytes: number;
}

const LINGER: Linger = { timeoutMs: 2_000, limitBytes: 1_048_576 };
/** While the body of a request that was answered early is on its way. A body of 4 MB takes 6.4 s at 5 Mbit/s. */
const BODY_LINGER: Linger = { timeoutMs: 10_000, limitBytes: 8_388_608 };
/** Time for the first request on a connection that has just been accepted: a round trip between regions. */
const FIRST_REQUEST_MS = 150;
/** Status for a request that is given up for others before its body has arrived. */
const SERVICE_UNAVAILABLE = 503;

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/**
 * One connection of a caller: which of its requests are under way, and how it is ended once its bytes cannot be read as
 * requests.
 *
 * @example
 * const connection = new CallerConnection(input, () => scheduler.remove(input));
 * server.on('request', (request, response) => connection.track(request, response));
 */
class CallerConnection {
  private readonly exchanges = new Set<Exchange>();

  private isEnding = false;

  /** Why this side ended the connection; undefined if it did not. */
  private endReason: EndReason | undefined;

  private detail = '';

  private readonly acceptedAtMs = performance.now();

  /** Bytes that had been parsed when the last whole request had arrived; undefined if none has. */
  private requestBytes: number | undefined;

  readonly socket: Socket;

  constructor(
    private readonly input: ConnectionInput,
    /** Called once the input of the connection is no longer parsed. */
    private readonly onDetached: () => void,
  ) {
    this.socket = input.socket;
    // Node.js calls this after a response that is its connection's last, and would destroy the connection beside unread bytes.
    this.socket.destroySoon = () => this.endAfterLast();
  }

  /** Number of requests whose responses the caller has not been sent in full. */
  get underWay(): number {
    return this.exchanges.size;
  }

  /**
   * Whether all requests have been answered, the caller has been sent the answers in full, and nothing has been read since the
   * last request. What was read together with it is not seen.
   */
  get isIdle(): boolean {
    return this.underWay === 0 && this.socket.bytesRead === this.requestBytes;
  }

  /** Whether bytes have been read that are still to be parsed. */
  get hasUnread(): boolean {
    return this.input.unreadBytes > 0;
  }

  /** Whether nothing has been read from this connection yet. */
  get isUnused(): boolean {
    return this.socket.bytesRead === 0;
  }

  /** Whether a response that has begun says that it is the last one of this connection. */
  get isLastBegun(): boolean {
    return [...this.exchanges].some(
      ({ response }) => response.headersSent && !response.shouldKeepAlive,
    );
  }

  /** Whether no request has arrived behind that of a response. */
  isLast(response: ServerResponse): boolean {
    return [...this.exchanges].at(-1)?.response === response;
  }

  /** Whether a request is being received, or bytes have come that are none. */
  get isReceiving(): boolean {
    if (this.underWay === 0) return !this.isIdle && !this.isUnused;
    return [...this.exchanges].some(({ request }) => !request.complete);
  }

  /** How far the connection has come. */
  get state(): ConnectionState {
    const hasServed = this.requestBytes !== undefined;
    if (this.underWay === 0) {
      if (hasServed) return ConnectionState.Idle;
      const isNew = performance.now() - this.acceptedAtMs < FIRST_REQUEST_MS;
      return isNew ? ConnectionState.New : ConnectionState.Unused;
    }
    const [only] = this.exchanges;
    if (this.underWay > 1 || only.request.complete) return ConnectionState.Answering;
    return hasServed ? ConnectionState.Receiving : ConnectionState.ReceivingFirst;
  }

  /** Whether nothing more is read from this connection. */
  get hasRefused(): boolean {
    return this.isEnding;
  }

  /** The requests whose responses the caller has not been sent in full. */
  get requests(): readonly IncomingMessage[] {
    return [...this.exchanges].map(({ request }) => request);
  }

  /** Why the connection ended, and what was said of it; undefined if the caller left first. */
  get end(): { readonly reason: EndReason; readonly detail: string } | undefined {
    const { endReason, detail } = this;
    if (endReason === undefined && this.hasCallerLeft) return undefined;
    return { reason: endReason ?? EndReason.Unknown, detail };
  }

  /** Whether the caller has ended its side, or the connection has broken off. */
  private get hasCallerLeft(): boolean {
    return this.socket.readableEnded || this.socket.errored !== null;
  }

  /** Takes note of why this side ends the connection; only the first reason counts, and none once the caller has left. */
  noteEnd(reason: EndReason, detail = ''): void {
    if (this.endReason !== undefined || this.hasCallerLeft) return;
    this.endReason = reason;
    this.detail = detail;
  }

  /** Counts a request as under way until its response has been sent, or its connection has closed. */
  track(request: IncomingMessage, response: ServerResponse): void {
    const exchange = { request, response };
    this.exchanges.add(exchange);
    this.input.begin(request);
    request.once('end', () => {
      this.input.complete();
      this.requestBytes = this.socket.bytesRead - this.input.unreadBytes;
    });
    response.once('close', () => {
      this.exchanges.delete(exchange);
      if (this.isEnding && this.underWay === 0) this.endSide();
    });
  }

  /**
   * Ends the connection, whose next bytes are no request. Responses that are under way are sent first. Returns whether the
   * caller is sent this status: only if no request of the connection is under way, and none has been answered on it.
   */
  refuse(status: number, reason: string): boolean {
    this.isEnding = true;
    this.discardInput(LINGER);
    const unread = [...this.exchanges].find(({ request }) => !request.complete);
    if (unread !== undefined) return this.refuseUnread(unread, status);
    if (this.underWay > 0) {
      this.closeAfterLastResponse();
      return false;
    }
    const isFirst = this.socket.bytesWritten === 0;
    const head = `HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
    this.endSide(isFirst ? head : '');
    return isFirst;
  }

  /**
   * Closes a connection that carries no request. Its caller has time to close its side: a reset could overtake its last response.
   * `onCrossed` is called if further bytes come.
   */
  close(onCrossed: () => void): void {
    if (this.isEnding) return;
    this.isEnding = true;
    this.discardInput(LINGER);
    this.socket.once('data', onCrossed);
    this.endSide();
  }

  /** Closes the connection at once, to free what it holds. A request whose body has not arrived is refused if it can be. */
  evict(reason: EndReason): void {
    const { socket } = this;
    const [only] = this.exchanges;
    const isReceiving = this.underWay === 1 && !only.request.complete;
    if (!isReceiving || only.response.headersSent) {
      this.noteEnd(isReceiving ? EndReason.BodyUnfinished : reason);
      socket.destroy();
      return;
    }
    this.stopParsing();
    const headers = { connection: 'close', 'content-length': '0' };
    only.response.writeHead(SERVICE_UNAVAILABLE, headers).end();
    Socket.prototype.destroySoon.call(socket);
  }

  /** Lets a caller whose last response has been sent go on sending its body for no longer than other callers may linger. */
  limitLinger(): void {
    if (this.isEnding && this.underWay === 0) this.destroyAfter(LINGER.timeoutMs);
  }

  /** Tells responses that their connection has closed. Node.js tells only the first one, not those that wait behind it. */
  closeResponses(): void {
    this.exchanges.forEach(({ response }) => response.emit('close'));
  }

  /** Ends the connection after its last response, which its caller must be able to take though it goes on sending. */
  private endAfterLast(): void {
    if (this.isEnding) {
      this.endSide();
      return;
    }
    const linger = this.isReceiving ? BODY_LINGER : LINGER;
    this.isEnding = true;
    this.discardInput(linger);
    this.dropBehind();
    this.endSide('', linger);
  }

  /** Gives up requests that arrived behind that of the last response. */
  private dropBehind(): void {
    const behind = [...this.exchanges].filter(({ response }) => !response.writableFinished);
    if (behind.length === 0) return;
    this.noteEnd(EndReason.BehindLastResponse);
    behind.forEach(({ response }) => response.emit('close'));
  }

  private stopParsing(): void {
    this.input.detach();
    this.onDetached();
  }

  /** Takes the connection from the parser, which would serve what still arrives. That is read, as a close beside unread bytes is a reset. */
  private discardInput({ limitBytes }: Linger): void {
    const { socket } = this;
    let leftBytes = limitBytes;
    this.stopParsing();
    socket.removeAllListeners('data');
    socket.on('data', (bytes: Buffer) => {
      leftBytes -= bytes.length;
      if (leftBytes < 0 && this.underWay === 0) socket.destroy();
    });
    // A caller that ends its side has left.
    socket.once('end', () => {
      if (this.underWay > 0) socket.destroy();
    });
    socket.resume();
  }

  /** Sends the last bytes, and destroys the connection if the caller does not close it in time. */
  private endSide(lastBytes = '', { timeoutMs }: Linger = LINGER): void {
    if (this.socket.writableEnded) return;
    this.socket.end(lastBytes);
    this.destroyAfter(timeoutMs);
  }

  private destroyAfter(timeoutMs: number): void {
    const { socket } = this;
    const timer = setTimeout(() => socket.destroy(), timeoutMs).unref();
    socket.once('close', () => clearTimeout(timer));
  }

  /** Refuses the request that is under way, but whose body cannot be read to its end. */
  private refuseUnread(exchange: Exchange, status: number): boolean {
    const { response } = exchange;
    if (!response.headersSent) {
      response.writeHead(status, { connection: 'close', 'content-length': '0' }).end();
      return true;
    }
    // It was answered early, and its end will not come.
    this.noteEnd(EndReason.BodyUnfinished);
    this.exchanges.delete(exchange);
    if (this.underWay === 0) this.endSide();
    return false;
  }

  private closeAfterLastResponse(): void {
    const last = [...this.exchanges].at(-1);
    if (last !== undefined && !last.response.headersSent) last.response.shouldKeepAlive = false;
  }
}

export default CallerConnection;
