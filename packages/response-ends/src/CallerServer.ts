import {
  type IncomingMessage,
  type RequestListener,
  Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import CallerConnection from './CallerConnection';
import type UnreadableBytes from './UnreadableBytes';
import refusalOf from './refusalOf';

/** Error code for a connection that the caller ends inside a request. */
const EARLY_END = 'HPE_INVALID_EOF_STATE';
const EXPECTATION_FAILED = 417;

/**
 * An HTTP server that knows which requests of each connection are under way: it writes a status of its own on a connection, or
 * closes it as idle, only while there are none.
 *
 * @example
 * const server = new CallerServer({ requestTimeout: 0 }, handle, ({ code }) => log.event('caller_unreadable', { code }));
 */
class CallerServer extends Server {
  private readonly callerConnections = new Map<Socket, CallerConnection>();

  constructor(
    options: ServerOptions,
    handle: RequestListener,
    private readonly onUnreadable: (bytes: UnreadableBytes) => void,
  ) {
    super(options, handle);
    this.on('connection', (socket) => this.trackConnection(socket));
    this.prependListener('request', (request, response) => this.trackRequest(request, response));
    this.on('checkExpectation', (request, response) => {
      this.trackRequest(request, response);
      response.writeHead(EXPECTATION_FAILED).end();
    });
    this.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.refuse(socket as Socket, error.code ?? error.message);
    });
  }

  /** Closes connections without a request under way. Node.js would also close those whose last response is still being sent. */
  override closeIdleConnections(): void {
    this.callerConnections.forEach((connection, socket) => {
      if (connection.isIdle) socket.destroy();
    });
  }

  private trackConnection(socket: Socket): void {
    const connection = new CallerConnection(socket);
    this.callerConnections.set(socket, connection);
    socket.once('close', () => {
      this.callerConnections.delete(socket);
      // After the listeners of Node.js for the same event.
      process.nextTick(() => connection.closeResponses());
    });
  }

  private trackRequest(request: IncomingMessage, response: ServerResponse): void {
    this.callerConnections.get(request.socket)?.track(request, response);
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
