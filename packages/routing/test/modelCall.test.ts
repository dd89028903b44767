/** How often a completion is sent to engines that answer without a stream. */
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Deadline, ErrorKind, ExecutionStatus, systemClock } from '@wisteriapath/model';
import { Right } from 'purify-ts';
import GuardedTargetClient from '../src/GuardedTargetClient';
import ModelCall from '../src/ModelCall';
import PoisonRegistry from '../src/PoisonRegistry';
import TargetClient from '../src/TargetClient';

const DEADLINE_MS = 400;
const MAX_ATTEMPTS = 4;
const DONE = 'data: {"choices":[{"text":"a"}]}\n\ndata: [DONE]\n\n';

describe('a completion', () => {
  const client = new TargetClient({ silenceLimitMs: 5_000 });
  let server: Server;
  let arrivals = 0;
  let answer: (response: ServerResponse) => void;
  beforeAll(async () => {
    server = createServer((request, response) => {
      response.setHeader('x-request-id', String(request.headers['x-request-id']));
      request.resume().on('end', () => {
        arrivals += 1;
        answer(response);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });
  beforeEach(() => {
    arrivals = 0;
  });
  afterAll(async () => {
    await client.close();
    server.close();
  });

  /** Runs one completion whose retry budget holds `savedRetries`. */
  const run = (savedRetries: number) => {
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    let retries = savedRetries;
    const parts = {
      clock: systemClock,
      slotAcquirer: {
        acquire: () => Promise.resolve(Right({ target: 'engine', url, release: () => {} })),
      },
      targets: new GuardedTargetClient(client, new PoisonRegistry(() => Promise.resolve())),
      retries: {
        recordRequest: () => {},
        take: () => {
          retries -= 1;
          return retries >= 0;
        },
      },
    } as unknown as ConstructorParameters<typeof ModelCall>[0];
    const route = { model: 'm', modelMb: 1, adapter: null, adapterMb: 0, requestClass: 'normal' };
    const context = {
      requestId: 'r1',
      deadline: Deadline.after(systemClock, DEADLINE_MS),
      call: { caller: { workspace: 'club' }, routeName: 'cup', route },
    } as unknown as ConstructorParameters<typeof ModelCall>[1];
    const request = {
      path: '/v1/completions',
      body: { prompt: 'p' },
      stream: false,
      maxTokens: 1,
      promptTokens: 1,
      prefixSha256: '',
    };
    const sink = {
      headersSent: false,
      disconnectSignal: new AbortController().signal,
      begin: () => {},
      write: () => Promise.resolve(),
      end: () => {},
      abort: () => {},
    };
    return new ModelCall(parts, context, request, sink).run();
  };

  test.each([429, 500, 503])(
    'is not sent again without a retry budget after status %s, which does not say that it has not run',
    async (status) => {
      answer = (response) => response.writeHead(status).end('failed');
      const error = (await run(0)).swap().unsafeCoerce();
      expect([error.kind, error.ran, arrivals]).toEqual([
        ErrorKind.TargetFailed,
        ExecutionStatus.Unknown,
        1,
      ]);
    },
  );

  test('is sent no more often than its attempts while engines fail', async () => {
    answer = (response) => response.writeHead(503).end('failed');
    await run(100);
    expect(arrivals).toBe(MAX_ATTEMPTS);
  });

  test('is sent again without a retry budget after a refusal that says that it has not run', async () => {
    answer = (response) => {
      if (arrivals < 3) response.writeHead(409).end('not loaded');
      else response.writeHead(200, { 'content-type': 'text/event-stream' }).end(DONE);
    };
    const result = await run(0);
    expect([result.isRight(), arrivals]).toEqual([true, 3]);
  });

  test('is not sent again after the copy of an earlier refusal that bears no id, as it may run', async () => {
    const refused = new WeakSet<object>();
    answer = (response) => {
      const socket = response.socket!;
      if (refused.has(socket)) socket.write('HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n');
      refused.add(socket);
      response.writeHead(arrivals === 1 ? 409 : 200).end(DONE);
    };
    await run(0);
    arrivals = 1;
    const error = (await run(0)).swap().unsafeCoerce();
    expect([error.kind, error.ran, arrivals]).toEqual([
      ErrorKind.TargetFailed,
      ExecutionStatus.Unknown,
      2,
    ]);
  });
});
