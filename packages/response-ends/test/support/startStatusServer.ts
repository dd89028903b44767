import { type AddressInfo, createServer, type Socket } from 'node:net';

const HEAD_END = '\r\n\r\n';

/**
 * Starts a server that answers each request, which must come in one piece, with a body and the status that is set then.
 *
 * @example
 * const server = await startStatusServer('{}');
 */
const startStatusServer = async (body: string | Uint8Array) => {
  const sockets: Socket[] = [];
  const state = { status: '200' };
  /** The connection of each request, by number. */
  const used: number[] = [];
  const server = createServer((socket) => {
    const connection = sockets.push(socket) - 1;
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      if (!bytes.includes(HEAD_END)) return;
      used.push(connection);
      const id = /^x-request-id: (.*)$/im.exec(bytes.toString('latin1'))?.[1] ?? '';
      const length = `Content-Length: ${Buffer.byteLength(body)}`;
      const head = [`HTTP/1.1 ${state.status} Some`, `X-Request-Id: ${id}`, length].join('\r\n');
      socket.write(Buffer.concat([Buffer.from(`${head}${HEAD_END}`), Buffer.from(body)]));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return {
    address,
    url: `http://${address}`,
    state,
    used,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
};

export default startStatusServer;
