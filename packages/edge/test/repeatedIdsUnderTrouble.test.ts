/** No connection carries an id twice, whatever ends exchanges and connections meanwhile, so that no copy meets its request again. */
import { EventEmitter } from 'node:events';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import TargetConnections from '../src/TargetConnections';

const SEEDS = [1, 2, 3, 4];
const REQUESTS = 1_200;
const MAX_REQUESTS = 2 * REQUESTS;
/** Requests that must come over a connection that has carried one before. */
const MIN_LATER = REQUESTS / 10;
const CONCURRENCY = 12;
const IDS = 24;
const MAX_DELAY_MS = 4;
const RANDOM_RANGE = 2 ** 32;
const HEAD_END = '\r\n\r\n';
const BODY = 'x'.repeat(2_000);

/** From when on the sender waits, until it aborts an exchange. Without a limit it waits for the end, and aborts where no answer is due. */
enum Limit {
  FromStart,
  FromArrival,
  None,
}

const LIMITS = [Limit.FromStart, Limit.FromArrival, Limit.None, Limit.None];

/** Creates a seeded generator of random numbers from 0 to 1 (a linear congruential generator). */
const createRandom = (seed: number) => {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % RANDOM_RANGE;
    return state / RANDOM_RANGE;
  };
};

const refusalOf = (id: string, more = ''): string =>
  `HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: ${id}\r\n${more}Content-Length: 0${HEAD_END}`;

type Answer = (id: string, socket: Socket, random: () => number) => void;

const staySilent: Answer = () => {};

/** What a target writes for a request, by the copies it makes and what becomes of the connection. */
const ANSWERS: readonly Answer[] = [
  (id, socket) => socket.write(refusalOf(id)),
  (id, socket) => socket.write(refusalOf(id)),
  (id, socket) => socket.write(refusalOf(id) + refusalOf(id)),
  (id, socket, random) => {
    socket.write(refusalOf(id));
    setTimeout(() => socket.write(refusalOf(id)), random() * MAX_DELAY_MS);
  },
  (id, socket, random) => {
    const copy = refusalOf(id);
    socket.write(copy + copy.slice(0, 9));
    setTimeout(() => socket.write(copy.slice(9)), random() * MAX_DELAY_MS);
  },
  (id, socket) => socket.write(refusalOf(id, 'Connection: close\r\n')),
  (id, socket) => socket.write(refusalOf(id, 'Keep-Alive: timeout=1\r\n')),
  (id, socket) => socket.write(`HTTP/1.1 103 Early Hints${HEAD_END}${refusalOf(id)}`),
  (id, socket) => {
    socket.write(refusalOf(id));
    setImmediate(() => socket.resetAndDestroy());
  },
  (_, socket) => socket.destroy(),
  staySilent,
];

/** Starts a target that notes over which connection each id comes, and tells of each exchange whether it stays without an answer. */
const startTarget = async (random: () => number) => {
  const repeated: string[] = [];
  const sockets = new Set<Socket>();
  const arrivals = new EventEmitter().setMaxListeners(0);
  let arrived = 0;
  let arrivedLater = 0;
  const server = createServer((socket) => {
    const carried = new Set<string>();
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {});
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      for (;;) {
        const headEnd = text.indexOf(HEAD_END);
        if (headEnd < 0) return;
        const [, method, id, exchange] = /^(\S+) \/(\d+)\/(\d+) /.exec(text)!;
        const length = headEnd + HEAD_END.length + (method === 'POST' ? BODY.length : 0);
        if (text.length < length && random() < 0.5) return;
        text = text.slice(length);
        arrived += 1;
        if (carried.size > 0) arrivedLater += 1;
        if (carried.has(id)) repeated.push(id);
        carried.add(id);
        const answer = ANSWERS[Math.floor(random() * ANSWERS.length)];
        if (!socket.destroyed) answer(id, socket, random);
        arrivals.emit(exchange, answer === staySilent);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    repeated,
    arrivals,
    arrived: () => arrived,
    arrivedLater: () => arrivedLater,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
};

test.each(SEEDS)('no id comes twice over one connection: seed %i', async (seed) => {
  const random = createRandom(seed);
  const target = await startTarget(random);
  const connections = new TargetConnections();
  let next = 0;
  let ambiguous = 0;
  const sendInTurn = async () => {
    while (next < REQUESTS || (next < MAX_REQUESTS && target.arrivedLater() < MIN_LATER)) {
      next += 1;
      const number = `${next}`;
      const id = `${Math.floor(random() * IDS)}`;
      const method = ['GET', 'POST', 'HEAD'][Math.floor(random() * 3)];
      const mayReject = random() < 0.1;
      const exchange = connections.send(
        {
          address: target.address,
          method,
          path: `/${id}/${number}`,
          headers: ['Attempt-Id', id],
          body: Buffer.from(method === 'POST' ? BODY : ''),
          exchangeId: id,
          maySend: () => random() > 0.05,
        },
        { onHeaders: () => !mayReject, onData: () => true },
      );
      const limit = LIMITS[Math.floor(random() * LIMITS.length)];
      const delayMs = random() * 4 * MAX_DELAY_MS;
      let timer: NodeJS.Timeout | undefined;
      const abortLater = () => {
        timer = setTimeout(exchange.abort, delayMs);
      };
      if (limit === Limit.FromStart) abortLater();
      target.arrivals.once(number, (isSilent: boolean) => {
        if (isSilent || limit === Limit.FromArrival) abortLater();
      });
      await exchange.ended;
      clearTimeout(timer);
      target.arrivals.removeAllListeners(number);
      if (exchange.isAmbiguous) ambiguous += 1;
      if (random() < 0.02) connections.retire(target.address);
      if (random() < 0.5) await sleep(random() * MAX_DELAY_MS);
    }
  };
  try {
    await Promise.all(Array.from({ length: CONCURRENCY }, sendInTurn));
    expect(target.repeated).toEqual([]);
    expect(ambiguous).toBe(0);
    expect(target.arrived()).toBeGreaterThan(next / 2);
    expect(target.arrivedLater()).toBeGreaterThanOrEqual(MIN_LATER);
  } finally {
    await connections.close();
    target.close();
  }
});
