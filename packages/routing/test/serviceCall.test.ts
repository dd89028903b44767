/** What a caller of the own protocol gets of a service's response that broke off. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { ErrorKind, systemClock } from '@wisteriapath/model';
import { Right } from 'purify-ts';
import GuardedTargetClient from '../src/GuardedTargetClient';
import PoisonRegistry from '../src/PoisonRegistry';
import ServiceCall from '../src/ServiceCall';
import TargetClient from '../src/TargetClient';

const END_DELAY_MS = 20;
const ENDLESS_BLOCK = 'x'.repeat(65_536);
/** Bytes that one response without end may make an instance read. */
const MAX_ENDLESS_BYTES = 32 * 1_048_576;

describe('a response with neither a length nor chunks', () => {
  const client = new TargetClient({ silenceLimitMs: 5_000 });
  let server: Server;
  let body = 'booked';
  let end = (socket: Socket): void => {
    socket.end();
  };
  beforeAll(async () => {
    server = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`);
        setTimeout(() => end(socket), END_DELAY_MS);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });
  afterAll(async () => {
    await client.close();
    server.close();
  });

  const run = async (idempotent: boolean) => {
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const completed: unknown[] = [];
    const written: string[] = [];
    const lengths: (string | undefined)[] = [];
    const parts = {
      clock: systemClock,
      slotAcquirer: {
        acquire: () => Promise.resolve(Right({ target: 'desk', url, release: () => {} })),
      },
      targets: new GuardedTargetClient(client, new PoisonRegistry(() => Promise.resolve())),
      claims: {
        claim: () => Promise.resolve({ kind: 'won', claimId: 'claim-1' }),
        complete: (...outcome: unknown[]) => completed.push(outcome),
        release: () => Promise.resolve(),
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
      call: { caller: { workspace: 'club' }, routeName: 'desk', route: { idempotent } },
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
      begin: (_: number, headers: Readonly<Record<string, string>>) => {
        lengths.push(headers['content-length']);
      },
      write: (chunk: string | Buffer) => {
        written.push(chunk.toString());
        return Promise.resolve();
      },
      end: () => {},
      abort: () => {},
    };
    const result = await new ServiceCall(parts).run(context, http, sink);
    const kind = result.caseOf({
      Left: (error): ErrorKind | null => error.kind,
      Right: () => null,
    });
    return { kind, written, lengths, recorded: completed.length };
  };

  test.each([true, false])(
    'that closes in order is answered with its length, idempotent: %s',
    async (idempotent) => {
      end = (socket) => {
        socket.end();
      };
      const recorded = idempotent ? 0 : 1;
      expect(await run(idempotent)).toEqual({
        kind: null,
        written: ['booked'],
        lengths: ['6'],
        recorded,
      });
    },
  );

  test.each([
    { idempotent: true, kind: ErrorKind.TargetFailed },
    { idempotent: false, kind: ErrorKind.OutcomeUnknown },
  ])('that does not end is no answer, idempotent: $idempotent', async ({ idempotent, kind }) => {
    const sent = { bytes: 0 };
    body = '';
    end = (socket) => {
      const write = () => {
        sent.bytes += ENDLESS_BLOCK.length;
        if (socket.write(ENDLESS_BLOCK)) setImmediate(write);
        else socket.once('drain', write);
      };
      write();
    };
    try {
      expect(await run(idempotent)).toEqual({ kind, written: [], lengths: [], recorded: 0 });
      expect(sent.bytes).toBeLessThan(MAX_ENDLESS_BYTES);
    } finally {
      body = 'booked';
    }
  });

  test.each([
    { idempotent: true, kind: ErrorKind.TargetFailed },
    { idempotent: false, kind: ErrorKind.OutcomeUnknown },
  ])('that is reset is no answer, idempotent: $idempotent', async ({ idempotent, kind }) => {
    end = (socket) => {
      socket.resetAndDestroy();
    };
    expect(await run(idempotent)).toEqual({ kind, written: [], lengths: [], recorded: 0 });
  });
});
