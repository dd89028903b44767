/** A connection carries no id twice, as the second copy of an answer would be taken for the answer to the later request. */
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { Pool } from 'undici';
import ConnectionHistory from '../src/ConnectionHistory';
import ConnectionUse from '../src/ConnectionUse';
import TrackedClient from '../src/TrackedClient';
import type TrackedDispatchOptions from '../src/TrackedDispatchOptions';

const LONG_ID = 'x'.repeat(8_192);
const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
const CLIENT_OPTIONS = { connectTimeoutMs: 500 };

type Requirements = Pick<TrackedDispatchOptions, 'exchangeId' | 'needsNewConnection'>;

test.each([
  [[], 'a', false, true],
  [['a'], 'a', false, false],
  [['a'], 'b', false, true],
  [['a'], undefined, false, true],
  [[undefined], 'a', false, true],
  [[undefined], '', false, true],
  [[''], '', false, false],
  [[undefined], 'a', true, false],
  [[], undefined, true, true],
  [[LONG_ID], 'a', false, false],
])('after %j, whether %j may follow (on a new connection: %j)', (carried, id, isNew, expected) => {
  const history = new ConnectionHistory();
  carried.forEach((earlier) => history.record(earlier));
  expect(history.mayCarry(id, isNew)).toBe(expected);
});

test('a retired connection carries nothing', () => {
  const history = new ConnectionHistory();
  history.retire();
  expect(history.mayCarry('a', false)).toBe(false);
});

describe('a client', () => {
  /** The number of the connection over which each request came. */
  const carriers: number[] = [];
  const sockets: Socket[] = [];
  let server: Server;
  let origin: string;
  beforeEach(async () => {
    carriers.length = 0;
    sockets.length = 0;
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
    origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });
  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });

  const send = async (client: TrackedClient | Pool, requirements: Requirements) => {
    const connectionUse = new ConnectionUse();
    const options: TrackedDispatchOptions = {
      ...requirements,
      connectionUse,
      method: 'GET',
      path: '/',
    };
    await new Promise<void>((resolve, reject) => {
      client.dispatch(options, {
        onRequestStart: () => {},
        onResponseEnd: () => resolve(),
        onResponseError: (_, error) => reject(error),
      });
    });
    return connectionUse;
  };

  test.each([
    ['keeps its connection for other ids', ['a', 'b', 'c'], [1, 1, 1]],
    ['sends an id again over another connection', ['a', 'b', 'a', 'b'], [1, 1, 2, 2]],
    ['sends requests without an id over one connection', [undefined, undefined], [1, 1]],
  ])('%s', async (_, ids, expected) => {
    const client = new TrackedClient(origin, CLIENT_OPTIONS);
    for (const exchangeId of ids) await send(client, { exchangeId });
    expect(carriers).toEqual(expected);
    await client.destroy();
  });

  test('sends what needs a new connection over one, and so it does from a pool with one connection', async () => {
    const factory = (url: URL) => new TrackedClient(url, CLIENT_OPTIONS);
    const pool = new Pool(origin, { connections: 1, factory });
    await send(pool, { exchangeId: 'a' });
    await send(pool, { needsNewConnection: true });
    await Promise.all([send(pool, { exchangeId: 'c' }), send(pool, { exchangeId: 'c' })]);
    expect(carriers).toEqual([1, 2, 2, 3]);
    await pool.destroy();
  });

  test('sends nothing more over a connection that its user has retired', async () => {
    const client = new TrackedClient(origin, CLIENT_OPTIONS);
    const use = await send(client, { exchangeId: 'a' });
    use.retireConnection();
    await send(client, { exchangeId: 'b' });
    expect(carriers).toEqual([1, 2]);
    await client.destroy();
  });

  test('does not close a connection that is in use, and calls an answer ambiguous that may be an earlier one', async () => {
    const client = new TrackedClient(origin, CLIENT_OPTIONS);
    const both = [send(client, { exchangeId: 'a' }), send(client, { exchangeId: 'a' })];
    const [first, second] = await Promise.all(both);
    expect(carriers).toEqual([1, 1]);
    expect([first.isAmbiguous, second.isAmbiguous]).toEqual([false, true]);
    await client.destroy();
  });
});
