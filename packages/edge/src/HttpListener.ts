import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http';
import type { Socket } from 'node:net';
import type { EventLog } from '@wisteriapath/fleet';

const BACKLOG = 1_024;

/** An HTTP server that listens at one address. */
class HttpListener {
  private constructor(readonly server: Server) {}

  /** Opens a listener; `address` is `host:port`. Rejects if the port cannot be bound. */
  static async open(
    address: string,
    options: ServerOptions,
    log: EventLog,
    handle: RequestListener,
  ): Promise<HttpListener> {
    const server = createServer(options, handle);
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      log.event('caller_unreadable', { address, code: error.code ?? error.message });
      HttpListener.rejectMalformed(error, socket as Socket);
    });
    const [host = '', port = '0'] = address.split(':');
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host, port: Number(port), backlog: BACKLOG }, resolve);
    });
    server.removeAllListeners('error').on('error', (error: NodeJS.ErrnoException) => {
      log.event('listener_error', { address, code: error.code ?? error.message });
    });
    return new HttpListener(server);
  }

  /** Responds to bytes that are not a valid request, unless a response was already sent on the connection. */
  private static rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || socket.bytesWritten > 0 || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const statuses: Record<string, string> = {
      HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
      ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
    };
    const status = statuses[error.code ?? ''] ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }

  /** Stops accepting connections; open connections stay. */
  stopAccepting(): void {
    this.server.close();
  }

  /** Closes idle connections. Call it again, as further connections become idle. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Closes the server and all connections. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

export default HttpListener;
