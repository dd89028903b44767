/** A server that is being closed sends slow callers the rest of answers that have been ended. */
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import CallerServer from '../src/CallerServer';

const ANSWER_BYTES = 8_388_608;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const POLL_INTERVAL_MS = 50;
const PAUSE_MS = 300;

const sleep = (durationMs: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Reads to the end of the connection, or until it has been silent for a second; returns the number of bytes. */
const countBytes = async (socket: Socket): Promise<number> => {
  let size = 0;
  socket.on('data', (bytes: Buffer) => {
    size += bytes.length;
  });
  socket.resume();
  for (let seen = -1; seen !== size && !socket.destroyed; await sleep(1_000)) seen = size;
  return size;
};

const start = async () => {
  const server = new CallerServer(
    {},
    (request, response) => {
      response.end(Buffer.alloc(request.url === '/short' ? 6 : ANSWER_BYTES));
    },
    () => {},
  );
  const accepted: Socket[] = [];
  server.on('connection', (socket) => accepted.push(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return { server, accepted, open: () => connect(port, '127.0.0.1').on('error', () => {}) };
};

test('a closing server does not cut off an answer that its caller has not taken yet', async () => {
  const { server, open } = await start();
  const socket = open();
  try {
    socket.pause();
    socket.write(REQUEST);
    await sleep(PAUSE_MS);
    server.close();
    const sweep = setInterval(() => server.closeIdleConnections(), POLL_INTERVAL_MS);
    await sleep(PAUSE_MS);
    const size = await countBytes(socket);
    clearInterval(sweep);
    expect(size).toBeGreaterThanOrEqual(ANSWER_BYTES);
  } finally {
    socket.destroy();
    server.closeAllConnections();
  }
});

test.each([
  { what: 'has taken its answer', text: REQUEST.replace('/', '/short') },
  {
    what: 'was refused for its expectation',
    text: REQUEST.replace('\r\n', '\r\nExpect: 200-ok\r\n'),
  },
])('a closing server closes a connection whose caller $what', async ({ text }) => {
  const { server, open } = await start();
  const socket = open();
  try {
    socket.write(text);
    await once(socket, 'data');
    const closed = once(server, 'close');
    await sleep(POLL_INTERVAL_MS);
    server.close();
    const sweep = setInterval(() => server.closeIdleConnections(), POLL_INTERVAL_MS);
    await closed;
    clearInterval(sweep);
  } finally {
    socket.destroy();
    server.closeAllConnections();
  }
});

describe('a request that waits to be read', () => {
  const readShort = REQUEST.replace('/', '/short');

  /** Counts the answers on a connection that has got one as `act` is called with it, as it stands on either side. */
  const countAnswers = async (
    act: (caller: Socket, server: CallerServer, accepted: Socket) => void,
  ) => {
    const { server, accepted, open } = await start();
    const socket = open();
    let text = '';
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString();
    });
    try {
      socket.write(readShort);
      await sleep(POLL_INTERVAL_MS);
      act(socket, server, accepted[0]);
      await sleep(PAUSE_MS);
      return text.match(/HTTP\/1\.1 200/g)?.length;
    } finally {
      socket.destroy();
      server.closeAllConnections();
      server.close();
    }
  };

  test('is answered on a connection that is closed as idle', async () => {
    const answers = await countAnswers((caller, server) => {
      caller.write(readShort);
      server.closeIdleConnections();
    });
    expect(answers).toBe(2);
  });

  test('is answered on a connection that is closed as idle for too long', async () => {
    const answers = await countAnswers((caller, _, accepted) => {
      caller.write(readShort);
      accepted.emit('timeout');
    });
    expect(answers).toBe(2);
  });
});

describe('a connection that has been silent for longer than the server keeps it', () => {
  const IDLE_TIMEOUT_MS = 100;
  /** Node.js keeps an idle connection for 1 s longer than it is told. */
  const LIMIT_MS = 2_500;

  test.each([
    { what: 'its last answer', text: '' },
    { what: 'an empty line, which is no request', text: '\r\n' },
  ])('is closed after $what', async ({ text }) => {
    const { server, open } = await start();
    server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    const socket = open().resume();
    try {
      socket.write(REQUEST.replace('/', '/short'));
      await once(socket, 'data');
      await sleep(POLL_INTERVAL_MS);
      socket.write(text);
      const closed = once(socket, 'close').then(() => true);
      expect(await Promise.race([closed, sleep(LIMIT_MS)])).toBe(true);
    } finally {
      socket.destroy();
      server.closeAllConnections();
      server.close();
    }
  });
});
