/** A request does not meet the copy of an earlier answer to its id: it goes over another connection, whoever sends it. */
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import TargetConnections from '../src/TargetConnections';

const ANSWER = 'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n';

describe('the connections to a target', () => {
  const connections = new TargetConnections();
  const sockets: Socket[] = [];
  const carriers: number[] = [];
  let server: Server;
  beforeAll(async () => {
    server = createServer((socket) => {
      const connection = sockets.push(socket);
      socket.on('error', () => {});
      socket.on('data', () => {
        carriers.push(connection);
        socket.write(ANSWER);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });
  afterAll(async () => {
    await connections.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });

  test('carry an id again over a connection that has not carried it', async () => {
    for (const exchangeId of ['a', 'b', 'a', 'c', 'a']) {
      const exchange = connections.send(
        {
          address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
          method: 'GET',
          path: '/',
          headers: [],
          body: Buffer.alloc(0),
          exchangeId,
          maySend: () => true,
        },
        { onHeaders: () => true, onData: () => true },
      );
      await exchange.ended;
      await nextTurn();
      expect(exchange.isAmbiguous).toBe(false);
    }
    expect(carriers).toEqual([1, 1, 2, 2, 3]);
  });
});
