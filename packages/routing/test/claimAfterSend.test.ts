/** A call that its target may have run keeps its claim, so that a repeat of its key does not run it again. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { ErrorKind, systemClock } from '@wisteriapath/model';
import { Right } from 'purify-ts';
import connectCodes from '@wisteriapath/response-ends/test/support/connectCodes';
import startLostServer from '@wisteriapath/response-ends/test/support/startLostServer';
import GuardedTargetClient from '../src/GuardedTargetClient';
import PoisonRegistry from '../src/PoisonRegistry';
import ServiceCall from '../src/ServiceCall';
import TargetClient from '../src/TargetClient';

const COPY = 'HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n';

/** Calls a service at most once; tells the kind of its error and how often the claim was released. */
const callOnce = async (client: TargetClient, port: number) => {
  let releases = 0;
  const parts = {
    clock: systemClock,
    slotAcquirer: {
      acquire: () =>
        Promise.resolve(
          Right({ target: 'desk', url: `http://127.0.0.1:${port}`, release: () => {} }),
        ),
    },
    targets: new GuardedTargetClient(client, new PoisonRegistry(() => Promise.resolve())),
    claims: {
      claim: () => Promise.resolve({ kind: 'won', claimId: 'claim-1' }),
      complete: () => {},
      release: () => {
        releases += 1;
        return Promise.resolve();
      },
    },
    retries: { recordRequest: () => {}, take: () => false },
    answerMarginMs: 10,
  } as unknown as ConstructorParameters<typeof ServiceCall>[0];
  const deadline = {
    remainingMs: () => 2_000,
    isExpired: () => false,
    earlierBy: () => deadline,
  };
  const context = {
    requestId: 'r1',
    deadline,
    call: { caller: { workspace: 'club' }, routeName: 'desk', route: { idempotent: false } },
  } as unknown as Parameters<ServiceCall['run']>[0];
  const http = {
    method: 'POST',
    path: '/book',
    headers: { 'idempotency-key': 'k1' },
    body: Buffer.from('{}'),
  };
  const sink = {
    headersSent: false,
    disconnectSignal: new AbortController().signal,
    begin: () => {},
    write: () => Promise.resolve(),
    end: () => {},
    abort: () => {},
  };
  const result = await new ServiceCall(parts).run(context, http, sink);
  const kind = result.caseOf({ Left: (error): ErrorKind | null => error.kind, Right: () => null });
  return { kind, releases };
};

describe('a call that may run at most once', () => {
  const client = new TargetClient({ silenceLimitMs: 5_000 });
  afterAll(() => client.close());

  test.each(connectCodes)('keeps its claim once it was sent: %s', async (code) => {
    const target = await startLostServer(code);
    try {
      const result = await callOnce(client, target.port);
      expect(result).toEqual({ kind: ErrorKind.OutcomeUnknown, releases: 0 });
      expect(target.received).toEqual(['/book']);
    } finally {
      target.close();
    }
  });

  test('keeps its claim when a copy of an earlier refusal, without an id, stands in place of its answer', async () => {
    let arrivals = 0;
    const server = createServer((request, response) => {
      response.setHeader('x-request-id', String(request.headers['x-request-id']));
      request.resume().on('end', () => {
        arrivals += 1;
        if (arrivals > 1) request.socket.write(COPY);
        response.writeHead(arrivals > 1 ? 200 : 409).end();
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    try {
      expect(await callOnce(client, port)).toEqual({ kind: null, releases: 0 });
      // The client counts its connection as in use until then.
      await nextTurn();
      expect(await callOnce(client, port)).toEqual({
        kind: ErrorKind.OutcomeUnknown,
        releases: 0,
      });
      expect(arrivals).toBe(2);
    } finally {
      server.closeAllConnections();
      server.close();
    }
  });

  test('loses its claim if no connection could be opened', async () => {
    const target = await startLostServer('');
    target.close();
    const result = await callOnce(client, target.port);
    expect(result).toEqual({ kind: ErrorKind.TargetFailed, releases: 1 });
  });
});
