import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** The channel on which the HTTP client announces that it writes a request to a connection. */
const CHANNEL = 'undici:client:sendHeaders';

/**
 * Starts a server that the network loses: once it has read a request, the client's end of the connection ends with an error code,
 * and no answer comes.
 */
const startLostServer = async (code: string) => {
  const received: string[] = [];
  const clientSockets = new Set<Socket>();
  const keep = (message: unknown) => {
    clientSockets.add((message as { readonly socket: Socket }).socket);
  };
  const server = createServer((request) => {
    request.resume();
    request.on('end', () => {
      received.push(request.url!);
      [...clientSockets]
        .filter(({ localPort }) => localPort === request.socket.remotePort)
        .forEach((socket) => socket.destroy(Object.assign(new Error(code), { code })));
    });
  });
  subscribe(CHANNEL, keep);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    /** Paths of the requests that were read whole. */
    received,
    close: () => {
      unsubscribe(CHANNEL, keep);
      server.closeAllConnections();
      server.close();
    },
  };
};

export default startLostServer;
