/** What clients may use of a server, and which connections are closed beyond it. */
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import type { ServerResponse } from 'node:http';
import CallerServer from '../src/CallerServer';
import type ClosedConnection from '../src/ClosedConnection';
import ConnectionState from '../src/ConnectionState';
import chooseEvicted from '../src/chooseEvicted';

const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const POST = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab';
const HEAD_LIMIT_BYTES = 8_192;

const { New, Unused, Idle, ReceivingFirst, Receiving, Answering } = ConnectionState;

describe('the connection that is closed for a new one', () => {
  // Guards against a crowd of connections without a request that keeps others out, and against the loss of requests that arrived.
  test.each([
    { states: [Answering, Receiving, Idle, Unused, Unused], chosen: 3, what: 'has no request' },
    { states: [Receiving, Answering, Idle, Idle, Unused], chosen: 2, what: 'was answered first' },
    { states: [Answering, Receiving, Receiving, Unused], chosen: 1, what: 'receives longest' },
    {
      states: [Idle, ReceivingFirst, ReceivingFirst, Unused],
      chosen: 1,
      what: 'receives its first request longest',
    },
    { states: [New, Receiving, Idle, New], chosen: 2, what: 'is idle, before one that is new' },
    { states: [Answering, New, New, New], chosen: 1, what: 'is new, and the oldest of these' },
    { states: [Answering, Answering, Unused], chosen: 2, what: 'is new, if all others have work' },
  ])('$what', ({ states, chosen }) => {
    const connections = states.map((state) => ({ state }));
    expect(chooseEvicted(connections)).toBe(connections[chosen]);
  });

  test('is none if there are none', () => {
    expect(chooseEvicted([])).toBeUndefined();
  });
});

describe('a server with limits', () => {
  let server: CallerServer;
  let handled: ServerResponse[];
  let closed: ClosedConnection[];
  const sockets: Socket[] = [];
  const start = async (limits: Parameters<CallerServer['limitUse']>[0]) => {
    handled = [];
    closed = [];
    server = new CallerServer(
      {},
      (request, response) => {
        request.resume();
        handled.push(response);
      },
      () => {},
    );
    server.limitUse(limits, (connection) => closed.push(connection));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  };
  const open = async (text = ''): Promise<{ socket: Socket; text: () => string }> => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    sockets.push(socket);
    let received = '';
    socket.on('error', () => {});
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString();
    });
    await once(socket, 'connect');
    if (text !== '') socket.write(text);
    await server.handlePendingInput();
    return { socket, text: () => received };
  };
  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    server.closeAllConnections();
    server.close();
  });

  // Guards against silent connections that keep a new caller out.
  test('closes the oldest silent connection for a new one, which is served', async () => {
    await start({ connections: 2, requestsInConnection: 9, requests: 9, unreadBytes: Infinity });
    const [first] = [await open(), await open()];
    await Promise.all([once(first.socket, 'close'), open(GET)]);
    await server.handlePendingInput();
    expect(handled).toHaveLength(1);
    expect(closed).toMatchObject([{ reason: 'too_many_connections', limit: 2 }]);
    expect(server.connectionCount).toBe(2);
  });

  // Guards against a refusal without a status, after which a client does not know that its request did not run.
  test('refuses a request whose body has not arrived as it closes its connection', async () => {
    await start({ connections: 1, requestsInConnection: 9, requests: 9, unreadBytes: Infinity });
    const receiving = await open(POST);
    await Promise.all([once(receiving.socket, 'close'), open(GET)]);
    expect(receiving.text()).toMatch(/^HTTP\/1\.1 503 /);
  });

  // Guards against one connection whose requests fill the memory of the process.
  test('closes a connection that carries too many requests, and serves as many as are allowed', async () => {
    await start({ connections: 9, requestsInConnection: 3, requests: 9, unreadBytes: Infinity });
    const allowed = await open(GET.repeat(3));
    expect(handled).toHaveLength(3);
    const beyond = await open(GET.repeat(500));
    if (!beyond.socket.closed) await once(beyond.socket, 'close');
    expect(handled).toHaveLength(6);
    expect(closed).toMatchObject([{ reason: 'too_many_pipelined', limit: 3 }]);
    expect(allowed.socket.closed).toBe(false);
  });

  // Guards against many connections that each carry as many requests as one may.
  test('closes a connection that carries more than one request while all together carry too many', async () => {
    await start({ connections: 9, requestsInConnection: 9, requests: 3, unreadBytes: Infinity });
    await open(GET.repeat(2));
    await open(GET);
    const second = await open(GET);
    const beyond = await open(GET.repeat(2));
    if (!beyond.socket.closed) await once(beyond.socket, 'close');
    expect(closed).toMatchObject([{ reason: 'too_many_requests', limit: 3 }]);
    expect(second.socket.closed).toBe(false);
  });

  // Guards against a limit of heads that is not in force, or that refuses a head within it.
  test.each([
    { what: 'serves a head within the limit', fieldBytes: HEAD_LIMIT_BYTES - 200, count: 1 },
    { what: 'refuses a head beyond it', fieldBytes: HEAD_LIMIT_BYTES + 1, count: 0 },
  ])('$what', async ({ fieldBytes, count }) => {
    await start({ connections: 9, requestsInConnection: 9, requests: 9, unreadBytes: Infinity });
    server.limitHeads(HEAD_LIMIT_BYTES);
    const { text } = await open(GET.replace('Host', `X: ${'x'.repeat(fieldBytes)}\r\nHost`));
    expect(handled).toHaveLength(count);
    if (count === 0) expect(text()).toMatch(/^HTTP\/1\.1 431 /);
  });
});
