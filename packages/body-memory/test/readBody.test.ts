/** How the reading of a request body ends, and what it holds after that. */
import { getEventListeners } from 'node:events';
import { PassThrough } from 'node:stream';
import { setImmediate as passTurn } from 'node:timers/promises';
import type { IncomingMessage } from 'node:http';
import { ErrorKind } from '@wisteriapath/model';
import MemoryBudget from '../src/MemoryBudget';
import ReceivedBody from '../src/ReceivedBody';
import readBody from '../src/readBody';

const BUDGET_BYTES = 100_000;
const LIMIT_BYTES = 5_000;

const start = () => {
  const request = new PassThrough();
  const budget = new MemoryBudget(BUDGET_BYTES, () => {});
  const body = new ReceivedBody(budget.reserve());
  const stop = new AbortController();
  const read = readBody(request as unknown as IncomingMessage, {
    limitBytes: LIMIT_BYTES,
    body,
    stopSignal: stop.signal,
    cut: () => {},
  });
  request.write(Buffer.alloc(1_000));
  return { request, budget, body, stop, read };
};

type Started = ReturnType<typeof start>;

interface Ending {
  readonly what: string;
  readonly kind: ErrorKind;
  readonly end: (started: Started) => void;
}

const ENDINGS: readonly Ending[] = [
  {
    what: 'is too long',
    kind: ErrorKind.BodyTooLarge,
    end: ({ request }) => request.write(Buffer.alloc(LIMIT_BYTES)),
  },
  {
    what: 'is cut short by its caller',
    kind: ErrorKind.BadRequest,
    end: ({ request }) => request.destroy(),
  },
  { what: 'comes too late for a stop', kind: ErrorKind.Stopping, end: ({ stop }) => stop.abort() },
  {
    what: 'is dropped, as its request was answered early',
    kind: ErrorKind.BadRequest,
    end: ({ body }) => body.drop(),
  },
  {
    what: 'has to give way',
    kind: ErrorKind.MemoryExhausted,
    end: ({ budget }) => budget.reserve().hold(BUDGET_BYTES),
  },
];

// Guards against a way to end a body that leaves its bytes in memory.
test.each(ENDINGS)('a body that $what holds nothing after it', async ({ kind, end }) => {
  const started = start();
  await passTurn();
  expect(started.budget.heldBytes).toBeGreaterThan(0);
  end(started);
  const error = (await started.read).swap().unsafeCoerce();
  expect(error.kind).toBe(kind);
  expect(started.body.take()).toHaveLength(0);
  expect(getEventListeners(started.stop.signal, 'abort')).toHaveLength(0);
  started.request.destroy();
});

test('a body that is whole counts until its request has ended, also once its stream has closed', async () => {
  const { request, budget, body, read } = start();
  request.end(Buffer.alloc(500));
  expect((await read).unsafeCoerce()).toHaveLength(1_500);
  await passTurn();
  expect(request.closed).toBe(true);
  expect(budget.heldBytes).toBe(1_500);
  body.drop();
  expect(budget.heldBytes).toBe(0);
});
