/** Guards that a response reaches only the request that it belongs to. */
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import ExchangeFailure from '../src/ExchangeFailure';
import TargetClient from '../src/TargetClient';

const RESPONSE_DELAY_MS = 60;

const startTarget = async (handler: RequestListener) => {
  const target = createServer(handler);
  let connections = 0;
  target.on('connection', () => {
    connections += 1;
  });
  await new Promise<void>((resolve) => {
    target.listen(0, '127.0.0.1', resolve);
  });
  return {
    url: `http://127.0.0.1:${(target.address() as AddressInfo).port}`,
    connections: () => connections,
    close: () => {
      target.closeAllConnections();
      target.close();
    },
  };
};

const call = (attemptId: string, signal = new AbortController().signal) => ({
  method: 'GET',
  path: '/',
  headers: {},
  body: '',
  attemptId,
  signal,
});

describe('an exchange with a target', () => {
  const client = new TargetClient({ silenceLimitMs: 5_000 });
  let target: Awaited<ReturnType<typeof startTarget>>;
  afterEach(() => target.close());
  afterAll(() => client.close());

  test('drops a response that names another attempt', async () => {
    target = await startTarget((_request, response) => {
      response.setHeader('x-request-id', 'other').end('not yours');
    });
    const result = await client.send(target.url, call('own'));
    expect(result.extract()).toBe(ExchangeFailure.AttemptMismatch);
  });

  describe.each([
    ['with the id of the refused attempt', 'x-request-id: refused\r\n'],
    ['without an id', ''],
  ])('on a connection on which its target writes a refusal once more, %s', (_, idLine) => {
    const copy = `HTTP/1.1 409 Conflict\r\n${idLine}content-length: 0\r\n\r\n`;
    beforeEach(async () => {
      target = await startTarget((request, response) => {
        const id = String(request.headers['x-request-id']);
        response.setHeader('x-request-id', id);
        if (id === 'refused') response.writeHead(409).end();
        else request.socket.write(copy, () => response.end('done'));
      });
      const refused = (await client.send(target.url, call('refused'))).unsafeCoerce();
      await refused.data.body.dump();
      // The client counts its connection as in use until then.
      await nextTurn();
    });

    test('does not take the copy for its own answer', async () => {
      const result = await client.send(target.url, call('own'));
      expect(result.extract()).toBe(ExchangeFailure.AttemptMismatch);
      expect(target.connections()).toBe(1);
    });
  });

  test('believes an answer without an id on a connection that has carried nothing before', async () => {
    target = await startTarget((_request, response) => {
      response.end('done');
    });
    const first = await client.send(target.url, call('first'));
    expect(await first.unsafeCoerce().data.body.text()).toBe('done');
  });

  test('a response that ends with its connection before it is read arrives whole', async () => {
    const text = 'a'.repeat(70_000);
    target = await startTarget((_request, response) => {
      response.removeHeader('transfer-encoding');
      response.writeHead(200, { connection: 'close' }).end(text);
    });
    const { data, wasBrokenOff } = (await client.send(target.url, call('own'))).unsafeCoerce();
    await new Promise((resolve) => {
      setTimeout(resolve, RESPONSE_DELAY_MS);
    });
    expect(await data.body.text()).toBe(text);
    expect(wasBrokenOff()).toBe(false);
  });

  test('a response that arrives after its attempt was aborted reaches no other request', async () => {
    target = await startTarget((request, response) => {
      const id = String(request.headers['x-request-id']);
      const respond = () => response.end(`answer to ${id}`);
      if (id === 'early') setTimeout(respond, RESPONSE_DELAY_MS);
      else respond();
    });
    const leaving = new AbortController();
    const early = client.send(target.url, call('early', leaving.signal));
    setTimeout(() => leaving.abort(), RESPONSE_DELAY_MS / 2);
    expect((await early).extract()).toBe(ExchangeFailure.Aborted);
    const texts = await Promise.all(
      ['a', 'b', 'c'].map(async (id) => {
        const result = await client.send(target.url, call(id));
        return result.unsafeCoerce().data.body.text();
      }),
    );
    expect(texts).toEqual(['answer to a', 'answer to b', 'answer to c']);
    expect(target.connections()).toBeGreaterThan(1);
  });
});
