/** Which requests an instance still serves from the stop signal on. */
import fc from 'fast-check';
import { ErrorKind, ExecutionStatus, responseTo } from '@wisteriapath/model';
import { RouteSemantics } from '@wisteriapath/fleet';
import VirtualClock from '@wisteriapath/virtual-clock';
import StopGate from '../src/StopGate';
import requestOf from './support/requestOf';

/** Time from the stop signal until requests in progress are broken off. */
const END_MS = 7_500;
const SEND_CUTOFF_MS = 2_600;
const START_MS = 200;
const MS_PER_TOKEN = 50;
/** What may be added to a duration that is known. */
const ALLOWANCE = 1.1;

/** No other instance of the failure domain is heard. */
const ALONE = { candidates: [], domainPeers: [] };

/** Begins a stop at time 0, after the given answers. */
const createGate = (lengths: readonly (number | null)[], durationMs?: number) => {
  const clock = new VirtualClock();
  const lines: string[] = [];
  const log = {
    event: (name: string, fields: object) => lines.push(JSON.stringify([name, fields])),
  };
  const shutdown = {
    hasBegun: true,
    sendCutoffAtMs: SEND_CUTOFF_MS,
    turnedAwayAtMs: SEND_CUTOFF_MS,
    endAtMs: END_MS,
  };
  const gate = new StopGate({ clock, log, shutdown, peers: ALONE });
  lengths.forEach((outputTokens) =>
    gate.recordAnswer(
      { pool: 'engines', route: 'write', model: 'm', outputTokens, estimatedTokens: null },
      {
        firstEventMs: START_MS,
        totalMs: durationMs ?? START_MS + (outputTokens ?? 0) * MS_PER_TOKEN,
      },
    ),
  );
  return { clock, gate, lines };
};

const LENGTHS = [10, 20, 30, 40];
const UNKNOWN_LENGTHS = [null, null, null];

test.each([
  { what: 'a short stream', before: LENGTHS, request: { outputTokens: 20 } },
  { what: 'a stream that just fits', before: LENGTHS, request: { outputTokens: 132 } },
  { what: 'a stream that outlasts it', before: LENGTHS, request: { outputTokens: 133 } },
  {
    what: 'a long stream whose deadline comes first',
    before: LENGTHS,
    request: { outputTokens: 500, deadlineAtMs: 7_000 },
  },
  {
    what: 'a long stream of a model that was not seen before',
    before: LENGTHS,
    request: { outputTokens: 200, model: 'other' },
  },
  {
    what: 'a stream of unknown length, with lengths known of others',
    before: LENGTHS,
    request: {},
  },
  { what: 'a stream, after too few others', before: [10, 20], request: { outputTokens: 10 } },
  { what: 'a stream of which nothing is known', before: [], request: { outputTokens: 10 } },
  {
    what: 'a short stream that fits by the objectives of its route',
    before: [],
    request: { outputTokens: 30, gapTargetMs: 200 },
  },
  {
    what: 'a long stream that does not fit by the objectives of its route',
    before: [],
    request: { outputTokens: 40, gapTargetMs: 200 },
  },
  {
    what: 'a stream whose objectives are worse than the pace of others',
    before: LENGTHS,
    request: { outputTokens: 40, gapTargetMs: 200 },
  },
  {
    what: 'a stream of which only the deadline is known',
    before: [],
    request: { deadlineAtMs: 7_400 },
  },
  {
    what: 'a booking of which nothing is known',
    before: [],
    request: { semantics: RouteSemantics.AtMostOnce },
  },
  {
    what: 'a booking, after ones that took long',
    before: UNKNOWN_LENGTHS,
    durationMs: 7_000,
    request: { semantics: RouteSemantics.AtMostOnce },
  },
  {
    what: 'a booking, after ones that took less',
    before: UNKNOWN_LENGTHS,
    durationMs: 5_000,
    request: { semantics: RouteSemantics.AtMostOnce },
  },
])('a request is served or refused by its expected duration: $what', (row) => {
  const { gate } = createGate(row.before, row.durationMs);
  expect(gate.decide(requestOf(row.request))).toMatchSnapshot();
});

test('an answer that was held up once does not make short streams look long', () => {
  const { gate } = createGate(LENGTHS);
  gate.recordAnswer(
    { pool: 'engines', route: 'write', model: 'm', outputTokens: 2, estimatedTokens: null },
    { firstEventMs: START_MS, totalMs: START_MS + 2_000 },
  );
  const { expectedMs } = gate.decide(requestOf({ outputTokens: 40 }));
  expect(expectedMs).toBeCloseTo((START_MS + 40 * MS_PER_TOKEN) * ALLOWANCE);
});

test('one answer to a request that allowed absurdly much does not make long streams look short', () => {
  const { gate } = createGate([...LENGTHS, ...LENGTHS]);
  gate.recordAnswer(
    { pool: 'engines', route: 'write', model: 'm', outputTokens: 1e9, estimatedTokens: null },
    { firstEventMs: START_MS, totalMs: START_MS + 2_000 },
  );
  expect(gate.decide(requestOf({ outputTokens: 200 })).isServed).toBe(false);
});

test.each([
  { what: 'short, though much is allowed', estimatedTokens: 40, isServed: true },
  { what: 'long', estimatedTokens: 200, isServed: false },
  { what: 'not known, so that it may be as long as others', estimatedTokens: null, isServed: true },
])(
  "where all requests allow the same length, the callers' estimates tell: $what",
  ({ estimatedTokens, isServed }) => {
    const { gate } = createGate([]);
    LENGTHS.forEach((length) =>
      gate.recordAnswer(
        {
          pool: 'engines',
          route: 'write',
          model: 'm',
          outputTokens: 900,
          estimatedTokens: length,
        },
        { firstEventMs: START_MS, totalMs: START_MS + length * MS_PER_TOKEN },
      ),
    );
    const decision = gate.decide(requestOf({ outputTokens: 900, estimatedTokens }));
    expect(decision.isServed).toBe(isServed);
  },
);

test('a refusal says truly that the request has not run, and that its caller may come back when the balancer has turned away', () => {
  const { gate, lines } = createGate(LENGTHS);
  const refusal = gate.refusal(requestOf({ outputTokens: 200 }))!;
  const { kind, ran } = refusal;
  expect({ kind, ran, ...responseTo(refusal) }).toEqual({
    kind: ErrorKind.Stopping,
    ran: ExecutionStatus.NotExecuted,
    status: 503,
    retryAfterMs: SEND_CUTOFF_MS,
  });
  expect(lines).toMatchSnapshot();
});

test('a request that waited until it no longer fits is refused before it is sent', async () => {
  const { clock, gate } = createGate(LENGTHS);
  const request = requestOf({ outputTokens: 100 });
  const atArrival = gate.refusal(request);
  await clock.advance(2_000);
  expect([atArrival?.kind, gate.refusal(request)?.kind]).toEqual([undefined, ErrorKind.Stopping]);
});

test.each([
  { what: 'the rest of a stream that fits', outputTokens: 80, begunAtMs: 1_000, isServed: true },
  { what: 'the rest of one that does not', outputTokens: 220, begunAtMs: 1_000, isServed: false },
  { what: 'a rest of unknown length', outputTokens: null, begunAtMs: 1_000, isServed: true },
])(
  'a stream that broke off goes on at another engine in a stop only if its rest fits: $what',
  async ({ outputTokens, begunAtMs, isServed }) => {
    const { clock, gate } = createGate(outputTokens === null ? [] : LENGTHS);
    await clock.advance(3_000);
    expect(gate.refusal(requestOf({ outputTokens }), { begunAtMs }) === undefined).toBe(isServed);
  },
);

test('without a stop nothing is refused', () => {
  const clock = new VirtualClock();
  const shutdown = {
    hasBegun: false,
    sendCutoffAtMs: Infinity,
    turnedAwayAtMs: Infinity,
    endAtMs: Infinity,
  };
  const gate = new StopGate({ clock, log: { event: () => {} }, shutdown, peers: ALONE });
  expect(gate.refusal(requestOf({}))).toBeUndefined();
});

test('of requests that are served none outlasts the stop, at any pace that was seen; the shorter one of two is not refused instead of the longer', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.integer({ min: 1, max: 400 }), { minLength: 3, maxLength: 60 }),
      fc.integer({ min: 1, max: 200 }),
      fc.integer({ min: 0, max: SEND_CUTOFF_MS }),
      fc.integer({ min: 1, max: 500 }),
      fc.integer({ min: 1, max: 500 }),
      async (lengths, msPerToken, sentAtMs, one, other) => {
        const { clock, gate } = createGate([]);
        lengths.forEach((outputTokens) =>
          gate.recordAnswer(
            { pool: 'engines', route: 'write', model: 'm', outputTokens, estimatedTokens: null },
            { firstEventMs: START_MS, totalMs: START_MS + outputTokens * msPerToken },
          ),
        );
        await clock.advance(sentAtMs);
        const isServed = (outputTokens: number) =>
          gate.decide(requestOf({ outputTokens, deadlineAtMs: 60_000 })).isServed;
        const [short, long] = [Math.min(one, other), Math.max(one, other)];
        const endsAtMs = clock.nowMs() + START_MS + long * msPerToken;
        if (isServed(long)) return endsAtMs <= END_MS && isServed(short);
        return true;
      },
    ),
  );
});
