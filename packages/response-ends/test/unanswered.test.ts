/** A server names each request that it has read and whose caller it leaves without a whole answer. */
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import CallerServer from '../src/CallerServer';
import EndReason from '../src/EndReason';
import type UnansweredRequest from '../src/UnansweredRequest';

const HOST = '127.0.0.1';
const PAUSE_MS = 50;
const LIMITS = { connections: 9, requestsInConnection: 2, requests: 4, unreadBytes: Infinity };

const get = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

type Handle = (response: ServerResponse) => void;

const begin: Handle = (response) => response.write('half');
const beginLast: Handle = (response) => {
  Object.assign(response, { shouldKeepAlive: false });
  response.write('half');
};
const fail: Handle = (response) => {
  response.write('half');
  throw new Error('made to fail');
};
const answer: Handle = (response) => response.end('whole');
const keep: Handle = () => {};

interface Case {
  readonly what: string;
  readonly handle: Handle;
  /** Texts that the caller sends one after the other. */
  readonly texts: readonly string[];
  readonly act?: (server: CallerServer, caller: Socket) => void;
}

const cases: readonly Case[] = [
  { what: 'that is answered', handle: answer, texts: [get('/1'), get('/2')] },
  {
    what: 'whose caller leaves first',
    handle: begin,
    texts: [get('/1')],
    act: (_, caller) => caller.destroy(),
  },
  {
    what: 'whose caller leaves before the server ends all connections',
    handle: begin,
    texts: [get('/1')],
    act: (server, caller) => {
      caller.destroy();
      setTimeout(() => server.closeAllConnections(), PAUSE_MS / 2);
    },
  },
  { what: 'behind the last response', handle: beginLast, texts: [get('/1'), get('/2')] },
  { what: 'of too many at once', handle: keep, texts: [get('/1'), get('/2') + get('/3')] },
  { what: 'whose handler fails after its response has begun', handle: fail, texts: [get('/1')] },
  {
    what: 'that waits as all connections are closed',
    handle: keep,
    texts: [get('/1')],
    act: (server) => server.closeAllConnections(),
  },
  {
    what: 'that is ended at a place that gives its reason',
    handle: begin,
    texts: [get('/1')],
    act: (server) => {
      const [request] = server.requests;
      server.noteEnd(request, EndReason.CallerTooSlow, 'in a test');
      server.noteEnd(request, EndReason.AnswerBroken);
      request.socket.destroy();
    },
  },
  {
    what: 'that is ended at a place that gives no reason',
    handle: begin,
    texts: [get('/1')],
    act: (server) => server.requests[0].socket.destroy(),
  },
];

test.each(cases)('a request $what', async ({ handle, texts, act }) => {
  const told: UnansweredRequest[] = [];
  const server = new CallerServer(
    {},
    (_, response) => handle(response),
    () => {},
  );
  server.limitUse(LIMITS, () => {});
  server.watchUnanswered((unanswered) => told.push(unanswered));
  server.watchFailures(() => {});
  server.listen(0, HOST);
  await once(server, 'listening');
  const caller = connect((server.address() as AddressInfo).port, HOST);
  caller.on('error', () => {}).resume();
  try {
    for (const text of texts) {
      caller.write(text);
      await sleep(PAUSE_MS);
    }
    act?.(server, caller);
    await sleep(PAUSE_MS);
    expect(
      told.map(({ request, tookMs, ...rest }) => ({ url: request.url, ...rest })),
    ).toMatchSnapshot();
  } finally {
    caller.destroy();
    server.closeAllConnections();
    server.close();
  }
});
