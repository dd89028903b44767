/** An instance whose own port does not answer it fails its start; one that was only slow, frozen or told to stop does not. */
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import callOwnPort from '../src/callOwnPort';
import reachableAddress from '../src/reachableAddress';

const HOST = '127.0.0.1';
/** Time in which the process must be able to run before the call is given up. */
const TIMEOUT_MS = 5_000;
const UNAVAILABLE = 503;

const never = () => false;

/** Lets this process stand still. */
const blockFor = (durationMs: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
};

describe('the call of the own port', () => {
  let server: Server;
  const listen = async (handle: RequestListener): Promise<string> => {
    server = createServer(handle);
    await new Promise<void>((resolve) => {
      server.listen(0, HOST, resolve);
    });
    return `${HOST}:${(server.address() as AddressInfo).port}`;
  };
  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  test('ends with any response, after one request', async () => {
    let requests = 0;
    const address = await listen((_, response) => {
      requests += 1;
      response.writeHead(UNAVAILABLE).end();
    });
    await callOwnPort(address, never);
    expect(requests).toBe(1);
  });

  test('fails with the error of the client without a response', async () => {
    const address = await listen((_, response) => {
      response.destroy();
    });
    const startedMs = performance.now();
    const message = `no answer from the own port ${address}: SocketError: other side closed`;
    await expect(callOwnPort(address, never)).rejects.toThrow(message);
    expect(performance.now() - startedMs).toBeGreaterThanOrEqual(TIMEOUT_MS);
  });

  test('fails if the request is taken and not answered', async () => {
    const address = await listen(() => {});
    await expect(callOwnPort(address, never)).rejects.toThrow(address);
  });

  test('does not fail for a time in which the process stood still', async () => {
    const address = await listen((_, response) => {
      setTimeout(() => response.end(), 1_000);
    });
    const called = callOwnPort(address, never);
    setTimeout(() => blockFor(TIMEOUT_MS), 500);
    await called;
  });

  test('does not fail once the process stops', async () => {
    let isOver = false;
    const address = await listen((_, response) => {
      isOver = true;
      response.destroy();
    });
    await callOwnPort(address, () => isOver);
  });
});

test.each([
  ['0.0.0.0:8224', '10.1.0.25:8224'],
  ['10.1.0.26:8224', '10.1.0.26:8224'],
  ['20.0.0.0:8224', '20.0.0.0:8224'],
])('a listener at %s is called at %s', (address, expected) => {
  expect(reachableAddress(address, '10.1.0.25')).toBe(expected);
});
