/** The listener of the own protocol writes no status of its own while a request of the connection is under way. */
import { connect } from 'node:net';
import HttpListener from '../src/HttpListener';

const RUN_MS = 300;
const REQUEST = 'GET /run HTTP/1.1\r\nHost: a\r\n\r\n';

const sleep = (durationMs: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Returns the statuses that a caller gets within a time, and how many requests ran. */
const exchange = async (text: string, durationMs: number) => {
  let runs = 0;
  const listener = await HttpListener.open(
    '127.0.0.1:0',
    (_, response) => {
      runs += 1;
      setTimeout(() => response.end('done'), RUN_MS);
    },
    () => {},
  );
  const { port } = new URL(listener.url);
  const socket = connect({ port: Number(port), host: '127.0.0.1', allowHalfOpen: true });
  let received = '';
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString();
  });
  try {
    socket.write(text);
    await sleep(durationMs);
    const statuses = [...received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => status);
    return { statuses, runs, isComplete: received.endsWith('done') };
  } finally {
    socket.destroy();
    listener.destroy();
  }
};

test.each([
  { what: 'alone', text: REQUEST },
  { what: 'with bytes behind it that are no request', text: `${REQUEST}no request\r\n\r\n` },
  { what: 'with an oversized head behind it', text: `${REQUEST}GET /${'x'.repeat(20_000)}` },
])('a request that runs is answered $what', async ({ text }) => {
  expect(await exchange(text, RUN_MS + 300)).toEqual({
    statuses: ['200'],
    runs: 1,
    isComplete: true,
  });
});

test('nothing runs behind bytes that are no request', async () => {
  expect(await exchange(`no request\r\n\r\n${REQUEST}`, RUN_MS)).toEqual({
    statuses: ['400'],
    runs: 0,
    isComplete: false,
  });
});

describe('a listener that closes', () => {
  const CALLERS = 10;
  const ETERNAL_CALLERS = 100;
  const CLOSE_LIMIT_MS = 4_000;
  const HALF_BODY = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n';

  const openWith = async (text: string) => {
    const listener = await HttpListener.open(
      '127.0.0.1:0',
      (_, response) => response.end('done'),
      () => {},
    );
    const { port } = new URL(listener.url);
    let received = '';
    const sockets = Array.from({ length: CALLERS }, () => {
      const socket = connect(Number(port), '127.0.0.1', () => socket.write(text));
      socket.on('error', () => {});
      return socket.on('data', (bytes: Buffer) => {
        received += bytes.toString();
      });
    });
    await new Promise((resolve) => {
      sockets[0].once('connect', resolve);
    });
    return { listener, sockets, countAnswers: () => received.split('done').length - 1 };
  };

  test('answers the requests of connections that wait to be accepted', async () => {
    const { listener, sockets, countAnswers } = await openWith(REQUEST);
    try {
      await listener.close();
      expect(countAnswers()).toBe(CALLERS);
    } finally {
      sockets.forEach((socket) => socket.destroy());
      listener.destroy();
    }
  });

  test('is not held up by connections that carry no request', async () => {
    const { listener, sockets } = await openWith('');
    try {
      await listener.close();
    } finally {
      sockets.forEach((socket) => socket.destroy());
      listener.destroy();
    }
  });

  test('resets no connection of callers that connect again once they are answered', async () => {
    const listener = await HttpListener.open(
      '127.0.0.1:0',
      (_, response) => response.writeHead(200, { connection: 'close' }).end('done'),
      () => {},
    );
    const port = Number(new URL(listener.url).port);
    let unanswered = 0;
    /** Sends one request after the other, each on a new connection, until the port is closed. */
    const call = async (): Promise<void> => {
      let isConnected = false;
      let received = '';
      const socket = connect(port, '127.0.0.1', () => {
        isConnected = true;
        socket.write(REQUEST);
      });
      socket.on('error', () => {});
      socket.on('data', (bytes: Buffer) => {
        received += bytes.toString();
      });
      await new Promise((resolve) => {
        socket.on('close', resolve);
      });
      if (!isConnected) return;
      unanswered += received === '' ? 1 : 0;
      await call();
    };
    const calls = Array.from({ length: ETERNAL_CALLERS }, call);
    await sleep(RUN_MS);
    await listener.close();
    await Promise.all(calls);
    expect(unanswered).toBe(0);
  });

  test.each([
    { what: 'half a head', text: 'POST / HT', more: '', statuses: ['408'] },
    { what: 'half a body', text: `${HALF_BODY}ha`, more: '', statuses: ['408'] },
    { what: 'an empty line behind a request', text: REQUEST, more: '\r\n', statuses: ['200'] },
  ])('is not held up by a caller that sends no more than $what', async (sent) => {
    const listener = await HttpListener.open(
      '127.0.0.1:0',
      (request, response) => {
        request.resume().on('end', () => response.end('done'));
      },
      () => {},
    );
    let received = '';
    const socket = connect(Number(new URL(listener.url).port), '127.0.0.1');
    socket.on('error', () => {});
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString();
    });
    try {
      socket.write(sent.text);
      await sleep(RUN_MS);
      socket.write(sent.more);
      await sleep(RUN_MS);
      const isClosed = listener.close().then(() => true);
      expect(await Promise.race([isClosed, sleep(CLOSE_LIMIT_MS)])).toBe(true);
      const statuses = [...received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => status);
      expect(statuses).toEqual(sent.statuses);
    } finally {
      socket.destroy();
      listener.destroy();
    }
  });
});
