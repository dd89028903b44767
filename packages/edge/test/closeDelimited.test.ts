/** How an exchange ends whose response has neither a length nor chunks, so that only its connection ends it. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import ExchangeEnd from '../src/ExchangeEnd';
import TargetConnections from '../src/TargetConnections';

const HEAD = 'HTTP/1.1 200 OK\r\n';
const END_DELAY_MS = 20;
/** Exceeds by far the time that an exchange takes here to end. */
const TIMEOUT_MS = 2_000;

type Answer = (socket: Socket) => void;

describe('a response that ends with its connection', () => {
  const connections = new TargetConnections();
  const sockets = new Set<Socket>();
  const uncaught: unknown[] = [];
  const recordUncaught = (error: unknown) => uncaught.push(error);
  let server: Server;
  let answers: Answer[] = [];
  beforeAll(async () => {
    process.on('uncaughtException', recordUncaught);
    server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => {});
      socket.once('data', () => answers.shift()!(socket));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });
  afterAll(async () => {
    process.off('uncaughtException', recordUncaught);
    await connections.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });

  /** Sends a request; `onData` returns false where the response must pause. */
  const send = (onData: (chunk: Buffer, resume: () => void) => boolean = () => true) => {
    const exchange = connections.send(
      {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        method: 'GET',
        path: '/',
        headers: [],
        body: Buffer.alloc(0),
        exchangeId: 'one',
        maySend: () => true,
      },
      {
        onHeaders: () => true,
        onData: (chunk) => onData(chunk, () => exchange.resume()),
      },
    );
    const timeout = new Promise<string>((resolve) => {
      setTimeout(() => resolve('no end'), TIMEOUT_MS).unref();
    });
    return Promise.race([exchange.ended, timeout]);
  };

  const answerThen =
    (text: string, end: (socket: Socket) => void): Answer =>
    (socket) => {
      socket.write(HEAD + text);
      setTimeout(() => end(socket), END_DELAY_MS);
    };

  const close = (socket: Socket) => {
    socket.end();
  };
  const reset = (socket: Socket) => {
    socket.resetAndDestroy();
  };

  test('a close in order ends it', async () => {
    answers = [answerThen('\r\nabc', close)];
    expect(await send()).toBe(ExchangeEnd.Closed);
  });

  test('a reset breaks it off', async () => {
    answers = [answerThen('\r\nabc', reset)];
    expect(await send()).toBe(ExchangeEnd.Broken);
  });

  test('a reset that arrives with the data breaks it off', async () => {
    answers = [
      (socket) => {
        socket.write(`${HEAD}\r\nabc`);
        socket.resetAndDestroy();
      },
    ];
    expect(await send()).not.toBe(ExchangeEnd.Closed);
  });

  test.each([
    { what: 'without length', text: '\r\nabc', end: close, expected: ExchangeEnd.Closed },
    { what: 'without length', text: '\r\nabc', end: reset, expected: ExchangeEnd.Broken },
    {
      what: 'with a length, on a connection that its target closes,',
      text: 'Connection: close\r\nContent-Length: 3\r\n\r\nabc',
      end: close,
      expected: ExchangeEnd.Complete,
    },
    {
      what: 'shorter than its length, on a connection that its target closes,',
      text: 'Connection: close\r\nContent-Length: 9\r\n\r\nabc',
      end: close,
      expected: ExchangeEnd.Broken,
    },
  ])('a response $what ends as $expected while its caller takes no data', async (given) => {
    answers = [answerThen(given.text, given.end)];
    const end = send((_, resume) => {
      setTimeout(resume, 3 * END_DELAY_MS);
      return false;
    });
    expect({ end: await end, uncaught }).toEqual({ end: given.expected, uncaught: [] });
  });

  test('the reset of one connection does not break off a response that ends in the same turn', async () => {
    const held: Socket[] = [];
    const endTogether: Answer = (socket) => {
      socket.write(`${HEAD}\r\nabc`);
      if (held.push(socket) < 2) return;
      setTimeout(() => {
        reset(held[0]);
        close(held[1]);
      }, END_DELAY_MS);
    };
    answers = [endTogether, endTogether];
    const first = send();
    const second = send();
    expect([await first, await second].sort()).toEqual([ExchangeEnd.Broken, ExchangeEnd.Closed]);
  });
});
