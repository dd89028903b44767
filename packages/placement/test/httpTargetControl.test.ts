/** Answers to orders bear no ids, so that the copy of an answer to an earlier call is not taken for the answer to an order. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import HttpTargetControl from '../src/HttpTargetControl';
import OrderKind from '../src/OrderKind';
import OrderResult from '../src/OrderResult';

const order = { kind: OrderKind.Load, assetId: 'm', sizeMb: 1, fencing: 1, sequence: 1 };

describe('an order', () => {
  /** The statuses with which the target answers its calls, in turn. */
  let statuses: number[];
  let writesCopies: boolean;
  let server: Server;
  let url: string;
  const control = new HttpTargetControl();
  const earlier = new WeakMap<Socket, number>();
  beforeEach(async () => {
    writesCopies = true;
    server = createServer((request, response) => {
      const { socket } = request;
      request.resume().on('end', () => {
        const copied = earlier.get(socket);
        if (writesCopies && copied !== undefined) {
          socket.write(`HTTP/1.1 ${copied} Again\r\ncontent-length: 2\r\n\r\n{}`);
        }
        const status = statuses.shift()!;
        earlier.set(socket, status);
        response.writeHead(status, { 'content-length': 2 }).end('{}');
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });
  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });
  afterAll(() => control.close());

  const sendOrder = async () => {
    // The client counts its connection as in use until then.
    await nextTurn();
    return control.order(url, order);
  };

  test.each([
    [412, OrderResult.Stale],
    [503, OrderResult.Unknown],
  ])('does not meet the copy of an earlier %i', async (status, meaning) => {
    statuses = [status, 200];
    expect(await sendOrder()).toBe(meaning);
    expect(await sendOrder()).toBe(OrderResult.Accepted);
  });

  test.each([
    ['report', () => control.report(url)],
    ['order', () => sendOrder()],
  ])('that is refused is not taken for accepted by the copy of an earlier %s', async (_, first) => {
    statuses = [200, 412];
    await first();
    expect(await sendOrder()).toBe(OrderResult.Stale);
  });

  test('of which several are sent at once meets no copy', async () => {
    statuses = [200, 200, 412, 412];
    await Promise.all([sendOrder(), sendOrder()]);
    const results = await Promise.all([sendOrder(), sendOrder()]);
    expect(results).toEqual([OrderResult.Stale, OrderResult.Stale]);
  });

  test('that is refused on a kept connection of a target that writes no copies is refused as well', async () => {
    writesCopies = false;
    statuses = [200, 412];
    await sendOrder();
    expect(await sendOrder()).toBe(OrderResult.Stale);
  });
});

test('a report is not lost by the copy of an earlier refusal', async () => {
  const refused = new WeakSet<Socket>();
  let isRefusing = true;
  const server = createServer(({ socket }, response) => {
    if (refused.has(socket)) socket.write('HTTP/1.1 503 Again\r\ncontent-length: 0\r\n\r\n');
    if (isRefusing) refused.add(socket);
    response.writeHead(isRefusing ? 503 : 200).end('{}');
    isRefusing = false;
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const control = new HttpTargetControl();
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  try {
    expect((await control.report(url)).isNothing()).toBe(true);
    await nextTurn();
    expect((await control.report(url)).isJust()).toBe(true);
  } finally {
    await control.close();
    server.closeAllConnections();
    server.close();
  }
});
