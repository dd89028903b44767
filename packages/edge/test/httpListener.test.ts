/** A request whose bytes cannot be read, or whose handler fails, is no error of the process, and ends. */
import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Registry } from 'prom-client';
import { systemClock } from '@wisteriapath/model';
import HttpListener from '../src/HttpListener';
import serveMetrics from '../src/serveMetrics';

type Handle = Parameters<typeof HttpListener.open>[3];

const HOST = '127.0.0.1';
const HEAD = `POST / HTTP/1.1\r\nHost: ${HOST}\r\nTransfer-Encoding: chunked\r\n\r\n`;
const BAD_CHUNK = `${HEAD}xyz\r\n`;
const WHOLE = `${HEAD}0\r\n\r\n`;
const PAUSE_MS = 50;
/** Time from the accepted connection to its first request: a round trip between regions. */
const FAR_MS = 120;
const CALLERS = 10;
const ETERNAL_CALLERS = 100;
const STATUS_END = 12;
const ANSWER_LIMIT_MS = 2_000;

const portOf = ({ server }: HttpListener): number => (server.address() as { port: number }).port;

/** Sends bytes; resolves to all that is answered by the time the connection closes, or to the time limit. */
const exchange = (port: number, bytes: string): Promise<string> => {
  const answered = new Promise<string>((resolve) => {
    let answer = '';
    const socket = connect(port, HOST, () => socket.write(bytes));
    socket.on('data', (chunk) => {
      answer += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('end', () => socket.end());
    socket.on('close', () => resolve(answer));
  });
  return Promise.race([answered, sleep(ANSWER_LIMIT_MS, 'no end', { ref: false })]);
};

describe('a listener', () => {
  const lines: string[] = [];
  const log = {
    event: (name: string, fields: object) => lines.push(JSON.stringify([name, fields])),
  };
  const errors: unknown[] = [];
  const keepError = (error: unknown) => errors.push(error);
  let listener: HttpListener;
  const open = async (handle: Handle) => {
    listener = await HttpListener.open(`${HOST}:0`, {}, log, handle);
    return portOf(listener);
  };
  beforeEach(() => {
    lines.length = 0;
    errors.length = 0;
    process.on('unhandledRejection', keepError);
    process.on('uncaughtException', keepError);
  });
  afterEach(() => {
    process.off('unhandledRejection', keepError);
    process.off('uncaughtException', keepError);
    listener.destroy();
  });

  test('of metrics refuses a chunk size that is not hexadecimal once', async () => {
    listener = await serveMetrics(`${HOST}:0`, new Registry(), log);
    const answer = await exchange(portOf(listener), BAD_CHUNK);
    await sleep(PAUSE_MS);
    expect(answer).toMatch(/^HTTP\/1\.1 400 [^]*\r\n\r\n$/);
    expect(errors).toEqual([]);
    expect(lines.join()).not.toContain('answer_failed');
  });

  test('whose handler answers later what was refused meanwhile goes on', async () => {
    const port = await open(async (_, response) => {
      await sleep(PAUSE_MS);
      response.writeHead(200, { connection: 'close' }).end('ok');
    });
    expect(await exchange(port, BAD_CHUNK)).toMatch(/^HTTP\/1\.1 400 /);
    await sleep(2 * PAUSE_MS);
    expect(errors).toEqual([]);
    expect(lines.join()).toMatch(/answer_failed.*Cannot write headers/);
    expect(await exchange(port, WHOLE)).toMatch(/^HTTP\/1\.1 200 [^]*ok/);
  });

  test.each([
    {
      when: 'at once',
      handle: () => {
        throw new Error('made to fail');
      },
    },
    { when: 'later', handle: () => Promise.reject(new Error('made to fail')) },
  ])(
    'whose handler fails $when promises nothing, closes the connection and says why',
    async ({ handle }) => {
      const port = await open(handle);
      expect(await exchange(port, WHOLE)).toMatch(
        /^HTTP\/1\.1 502 [^]*connection: close\r\n[^]*\r\n\r\n$/,
      );
      expect(errors).toEqual([]);
      expect(lines.join()).toMatch(/answer_failed.*made to fail/);
    },
  );

  test('that finishes answers the requests of connections that wait to be accepted', async () => {
    const port = await open((_, response) => {
      response.writeHead(200, { connection: 'close' }).end('ok');
    });
    const answers = Array.from({ length: CALLERS }, () => exchange(port, WHOLE));
    // The event loop has begun to connect all, and the listener has accepted none.
    await new Promise(setImmediate);
    await listener.finish(systemClock, Infinity);
    const statuses = (await Promise.all(answers)).map((answer) => answer.slice(0, STATUS_END));
    expect(new Set(statuses)).toEqual(new Set(['HTTP/1.1 200']));
  });

  test('that finishes answers the first request of a connection whose caller is far away', async () => {
    const port = await open((_, response) => {
      response.writeHead(200, { connection: 'close' }).end('ok');
    });
    const caller = connect(port, HOST);
    try {
      let answer = '';
      caller.on('data', (chunk) => {
        answer += chunk.toString('latin1');
      });
      await once(caller, 'connect');
      const finished = listener.finish(systemClock, Infinity);
      await sleep(FAR_MS);
      caller.write(WHOLE);
      await finished;
      expect(answer).toMatch(/^HTTP\/1\.1 200 /);
    } finally {
      caller.destroy();
    }
  });

  test('that finishes waits for no first request that does not come', async () => {
    const caller = connect(await open(() => {}), HOST);
    try {
      await once(caller, 'connect');
      const startedMs = performance.now();
      await listener.finish(systemClock, startedMs + FAR_MS);
      expect(performance.now() - startedMs).toBeLessThan(FAR_MS + PAUSE_MS);
    } finally {
      caller.destroy();
    }
  });

  test('that finishes resets no connection of callers that connect again once they are answered', async () => {
    const port = await open((_, response) => {
      response.writeHead(200, { connection: 'close' }).end('ok');
    });
    const cut: string[] = [];
    /** Sends one request after the other, each on a new connection, until the port is closed. */
    const call = async (): Promise<void> => {
      const socket = connect(port, HOST);
      let answer = '';
      let isConnected = false;
      socket.on('connect', () => {
        isConnected = true;
        socket.write(WHOLE);
      });
      socket.on('data', (chunk) => {
        answer += chunk.toString('latin1');
      });
      socket.on('error', () => {});
      await new Promise((resolve) => {
        socket.on('close', resolve);
      });
      if (!isConnected) return;
      if (answer === '') cut.push('no answer');
      await call();
    };
    const calls = Array.from({ length: ETERNAL_CALLERS }, call);
    await sleep(PAUSE_MS);
    await listener.finish(systemClock, Infinity);
    listener.destroy();
    await Promise.all(calls);
    expect(cut).toEqual([]);
  });
});
