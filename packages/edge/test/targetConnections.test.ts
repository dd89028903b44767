/** Requests do not wait inside the HTTP client, and are checked again just before their first byte is sent. */
import { randomUUID } from 'node:crypto';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import ExchangeEnd from '../src/ExchangeEnd';
import TargetConnections from '../src/TargetConnections';

const REQUESTS = 40;

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

  const send = (maySend: () => boolean) =>
    connections.send(
      {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
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
    connections.retire(`127.0.0.1:${(server.address() as AddressInfo).port}`);
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
});
