/** The HTTP client repeats no request by itself when a kept connection ends at the moment at which the request is written. */
import { type AddressInfo, createServer, type Socket } from 'node:net';
import ExchangeEnd from '../src/ExchangeEnd';
import TargetConnections from '../src/TargetConnections';

const SEEDS = [1, 2, 3];
const REQUESTS = 1_500;
const CONCURRENCY = 16;
const MAX_DELAY_MS = 3;
const RANDOM_RANGE = 2 ** 32;
const BODY = 'x'.repeat(2_000);

/** Creates a seeded generator of random numbers from 0 to 1 (a linear congruential generator). */
const createRandom = (seed: number) => {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % RANDOM_RANGE;
    return state / RANDOM_RANGE;
  };
};

const endSocket = (random: () => number, socket: Socket): void => {
  if (random() < 0.5) socket.end();
  else socket.resetAndDestroy();
};

/** What a target does with a connection around a request on it. */
const TROUBLES: Readonly<Record<string, (random: () => number, socket: Socket) => void>> = {
  none: () => {},
  'while idle': (random, socket) => {
    setTimeout(() => endSocket(random, socket), random() * MAX_DELAY_MS);
  },
  'with the answer': (random, socket) => {
    setImmediate(() => endSocket(random, socket));
  },
};

/** Starts a target that ends its connections at random moments: idle, with an answer, inside a request, or after its run. */
const startTarget = async (random: () => number) => {
  const runs = new Map<string, number>();
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {});
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      // Half a request read, or a whole one not run.
      if (random() < 0.05) {
        endSocket(random, socket);
        return;
      }
      if (!text.endsWith(BODY)) return;
      const id = /^POST \/book\/(\d+) /.exec(text)![1];
      text = '';
      runs.set(id, (runs.get(id) ?? 0) + 1);
      if (random() < 0.1) {
        endSocket(random, socket);
        return;
      }
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
      const trouble = Object.keys(TROUBLES)[Math.floor(random() * Object.keys(TROUBLES).length)];
      TROUBLES[trouble](random, socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    runs,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
};

test.each(SEEDS)('no request runs twice, none that was not sent has run: seed %i', async (seed) => {
  const random = createRandom(seed);
  const target = await startTarget(random);
  const connections = new TargetConnections();
  const ends = new Map<string, ExchangeEnd>();
  let next = 0;
  const sendInTurn = async () => {
    while (next < REQUESTS) {
      const id = `${next}`;
      next += 1;
      const request = {
        address: target.address,
        method: 'POST',
        path: `/book/${id}`,
        headers: [],
        body: Buffer.from(BODY),
        exchangeId: id,
        maySend: () => true,
      };
      const handler = { onHeaders: () => true, onData: () => true };
      ends.set(id, await connections.send(request, handler).ended);
      if (random() < 0.5) {
        await new Promise((resolve) => {
          setTimeout(resolve, random() * MAX_DELAY_MS);
        });
      }
    }
  };
  try {
    await Promise.all(Array.from({ length: CONCURRENCY }, sendInTurn));
    const ran = [...target.runs];
    expect(ran.filter(([, count]) => count > 1)).toEqual([]);
    const unsent = [...ends].filter(([, end]) => end === ExchangeEnd.NotSent);
    expect(unsent.filter(([id]) => target.runs.has(id))).toEqual([]);
    const answered = [...ends].filter(([, end]) => end === ExchangeEnd.Complete);
    expect(answered.filter(([id]) => !target.runs.has(id))).toEqual([]);
    // Otherwise the connections did not end in the moments that this is about.
    expect(ends.size).toBe(REQUESTS);
    expect(answered.length).toBeGreaterThan(REQUESTS / 2);
    expect(answered.length).toBeLessThan(REQUESTS);
  } finally {
    await connections.close();
    target.close();
  }
});
