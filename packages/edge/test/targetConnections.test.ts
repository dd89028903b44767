/** Requests do not wait inside the HTTP client, and are checked again just before their first byte is sent. */
import { randomUUID } from 'node:crypto';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import ExchangeEnd from '../src/ExchangeEnd';
import TargetConnections from '../src/TargetConnections';
import startDeafListener from './support/startDeafListener';

const REQUESTS = 40;
/** Time in which a connection to the deaf listener neither opens nor counts as failed. */
const OPENING_MS = 100;
/** Less than the HTTP client takes to give up a connection. */
const END_LIMIT_MS = 200;
/** Time after which the kernel has asked again for a connection that was not accepted. */
const ASKED_AGAIN_MS = 1_500;

describe('connections to targets', () => {
  const connections = new TargetConnections();
  const waiting: ServerResponse[] = [];
  let server: Server;
  let onRequest = () => {};
  beforeAll(async () => {
    server = createServer((_, response) => {
      waiting.push(response);
      onRequest();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });
  afterAll(async () => {
    await connections.close();
    server.closeAllConnections();
    server.close();
  });

  const serverAddress = () => `127.0.0.1:${(server.address() as AddressInfo).port}`;

  const send = (maySend: () => boolean, address = serverAddress()) =>
    connections.send(
      {
        address,
        method: 'GET',
        path: '/',
        headers: [],
        body: Buffer.alloc(0),
        exchangeId: randomUUID(),
        maySend,
      },
      { onHeaders: () => true, onData: () => true },
    );

  test('all requests are under way at once, however many there are', async () => {
    const allArrived = new Promise<void>((resolve) => {
      onRequest = () => {
        if (waiting.length === REQUESTS) resolve();
      };
    });
    const exchanges = Array.from({ length: REQUESTS }, () => send(() => true));
    await allArrived;
    waiting.splice(0).forEach((response) => response.end());
    const ends = await Promise.all(exchanges.map(({ ended }) => ended));
    expect(new Set(ends)).toEqual(new Set([ExchangeEnd.Complete]));
  });

  test('a request that may no longer be sent when its connection is open is not sent', async () => {
    connections.retire(serverAddress());
    let isAllowed = true;
    const exchange = send(() => isAllowed);
    isAllowed = false;
    expect(await exchange.ended).toBe(ExchangeEnd.Withheld);
    expect(waiting).toEqual([]);
  });

  test('an address that is not valid ends the exchange, and nothing is thrown', async () => {
    const request = {
      address: '10.0.0.1:99999',
      method: 'GET',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      exchangeId: randomUUID(),
      maySend: () => true,
    };
    const { ended } = connections.send(request, { onHeaders: () => true, onData: () => true });
    expect(await ended).toBe(ExchangeEnd.NotSent);
  });

  test('an exchange aborted while its connection opens ends at once, and nothing of it is sent', async () => {
    const deaf = await startDeafListener();
    try {
      const exchange = send(() => true, deaf.address);
      await sleep(OPENING_MS);
      exchange.abort();
      expect(await Promise.race([exchange.ended, sleep(END_LIMIT_MS)])).toBe(ExchangeEnd.Withheld);
      expect(exchange.mayHaveSent).toBe(false);
      deaf.release();
      await sleep(ASKED_AGAIN_MS);
      expect(deaf.received()).toBe('');
      expect(exchange.mayHaveSent).toBe(false);
    } finally {
      await deaf.close();
    }
  });

  test.each(['new', 'kept'])(
    'an exchange aborted before its hand-over to a %s connection is not sent, and the next one is',
    async (kind) => {
      connections.retire(serverAddress());
      onRequest = () => waiting.splice(0).forEach((response) => response.end());
      if (kind === 'kept') expect(await send(() => true).ended).toBe(ExchangeEnd.Complete);
      let arrived = 0;
      onRequest = () => {
        arrived += 1;
        waiting.splice(0).forEach((response) => response.end());
      };
      const exchange = send(() => true);
      exchange.abort();
      expect(await exchange.ended).toBe(ExchangeEnd.Withheld);
      await sleep(OPENING_MS);
      expect([arrived, exchange.mayHaveSent]).toEqual([0, false]);
      expect(await send(() => true).ended).toBe(ExchangeEnd.Complete);
    },
  );
});
