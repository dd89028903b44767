/** A connection is not reset beside the last response on it, though its caller goes on writing; what a caller may take of that is bounded. */
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import CallerServer from '../src/CallerServer';

const HOST = '127.0.0.1';
const PIECE = 'x'.repeat(20_000);
const PIECES = 3;
const PAUSE_MS = 30;
/** Fits into the buffers of the kernel, so that it is sent before the caller reads. */
const ANSWER_BYTES = 100_000;
const HEAD = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${PIECES * PIECE.length}\r\n\r\n`;
const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
/** Longer than a caller may take to close its side after the whole of its request has been answered. */
const LINGER_LIMIT_MS = 3_500;

describe('a server whose response is the last one of its connection', () => {
  let server: CallerServer;
  let caller: Socket;
  let errorCode: string | undefined;
  let received: string;
  let handled: number;
  beforeEach(async () => {
    handled = 0;
    server = new CallerServer(
      {},
      (_, response) => {
        handled += 1;
        response.writeHead(503, { connection: 'close', 'content-length': ANSWER_BYTES });
        response.end(Buffer.alloc(ANSWER_BYTES));
      },
      () => {},
    );
    server.listen(0, HOST);
    await once(server, 'listening');
    errorCode = undefined;
    received = '';
    const { port } = server.address() as AddressInfo;
    caller = connect({ port, host: HOST, allowHalfOpen: true });
    caller.on('error', ({ code }: NodeJS.ErrnoException) => {
      errorCode = code;
    });
    caller.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
    });
    await once(caller, 'connect');
  });
  afterEach(() => {
    caller.destroy();
    server.closeAllConnections();
    server.close();
  });

  const result = () => ({
    errorCode,
    status: received.slice(0, 'HTTP/1.1 503'.length),
    isWhole: received.length > ANSWER_BYTES,
  });
  const WHOLE = { errorCode: undefined, status: 'HTTP/1.1 503', isWhole: true };

  test('lets a caller that reads only after its body take the answer to the head', async () => {
    caller.pause();
    caller.write(HEAD);
    for (let count = 0; count < PIECES; count += 1) {
      await sleep(PAUSE_MS);
      caller.write(PIECE);
    }
    await sleep(PAUSE_MS);
    caller.resume();
    await Promise.race([once(caller, 'end'), sleep(PAUSE_MS * 10)]);
    expect(result()).toEqual(WHOLE);
  });

  test('lets a caller that sends a further request take the answer, and does not handle it', async () => {
    caller.pause();
    caller.write(GET);
    await sleep(PAUSE_MS);
    caller.write(GET);
    await sleep(PAUSE_MS);
    caller.resume();
    await Promise.race([once(caller, 'end'), sleep(PAUSE_MS * 10)]);
    expect({ ...result(), handled }).toEqual({ ...WHOLE, handled: 1 });
  });

  test('closes the connection as soon as its caller closes its side', async () => {
    caller.write(GET);
    await once(caller, 'end');
    caller.end();
    await Promise.race([once(caller, 'close'), sleep(PAUSE_MS * 10)]);
    await sleep(PAUSE_MS);
    expect(server.connectionCount).toBe(0);
  });

  test('closes the connection of a caller that does not close its side', async () => {
    caller.write(GET);
    await once(caller, 'end');
    expect(server.connectionCount).toBe(1);
    await sleep(LINGER_LIMIT_MS);
    expect(server.connectionCount).toBe(0);
  });

  test('closes the connection of a caller that sends without end', async () => {
    caller.write(GET);
    await once(caller, 'end');
    const flood = setInterval(() => caller.write(PIECE), 1);
    try {
      await sleep(LINGER_LIMIT_MS / 2);
      expect(server.connectionCount).toBe(0);
    } finally {
      clearInterval(flood);
    }
  });

  test('lets a caller go on with its body no longer than others once the server stops', async () => {
    caller.write(HEAD + PIECE);
    await once(caller, 'end');
    await sleep(LINGER_LIMIT_MS);
    expect(server.connectionCount).toBe(1);
    await server.refuseReceiving();
    await sleep(LINGER_LIMIT_MS);
    expect(server.connectionCount).toBe(0);
  });

  test('closes such connections first for new ones', async () => {
    server.limitUse(
      { connections: 1, requestsInConnection: 9, requests: 9, unreadBytes: Infinity },
      () => {},
    );
    caller.write(GET);
    await once(caller, 'end');
    const { port } = server.address() as AddressInfo;
    const next = connect(port, HOST);
    try {
      next.write(GET);
      const [bytes] = (await once(next, 'data')) as [Buffer];
      expect(bytes.toString('latin1')).toMatch(/^HTTP\/1\.1 503/);
      expect(server.connectionCount).toBe(1);
    } finally {
      next.destroy();
    }
  });
});
