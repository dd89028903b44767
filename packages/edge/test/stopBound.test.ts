/** Which streams an instance still serves from the stop signal on while another one serves the callers. */
import fc from 'fast-check';
import { ErrorKind, responseTo } from '@wisteriapath/model';
import { RouteSemantics } from '@wisteriapath/fleet';
import VirtualClock from '@wisteriapath/virtual-clock';
import StopGate from '../src/StopGate';
import type DomainInstances from '../src/DomainInstances';
import requestOf from './support/requestOf';

/** Time from the stop signal until requests in progress are broken off. */
const END_MS = 7_500;
const SEND_CUTOFF_MS = 2_600;
const START_MS = 200;
const ANSWERS = 20;
const TOKENS = 20;
const REST_MS = 4_000;
const PAUSE_MS = 2_500;
const PAUSE_EACH = 5;
/** Behind the end of the stop. */
const DEADLINE_MS = 60_000;
/** Time into the stop at which a stream ends in time only without a pause. */
const LATE_MS = 1_500;
/** Stands for a length that is not known. */
const ENDLESS_TOKENS = 1e9;

const SERVING = { isReady: true, isStopping: false };
const STOPPING = { isReady: false, isStopping: true };
/** What is heard of the other instances of the failure domain. */
const ALONE: DomainInstances = { candidates: [], domainPeers: [] };
const BESIDE_ANOTHER: DomainInstances = { candidates: [SERVING], domainPeers: [SERVING] };

/** Begins a stop at time 0. */
const beginStop = (peers: DomainInstances) => {
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
  const gate = new StopGate({ clock, log, shutdown, peers });
  return { clock, gate, lines };
};

/** Begins a stop after streams of which one in five paused. */
const stopBusy = (peers: DomainInstances, { answers = ANSWERS, pauseMs = PAUSE_MS } = {}) => {
  const parts = beginStop(peers);
  Array.from({ length: answers }, (_, index) =>
    parts.gate.recordAnswer(
      { pool: 'engines', route: 'write', model: 'm', outputTokens: TOKENS, estimatedTokens: null },
      {
        firstEventMs: START_MS,
        totalMs: START_MS + REST_MS + (index % PAUSE_EACH === 0 ? pauseMs : 0),
      },
    ),
  );
  return parts;
};

const LENGTHS = { outputTokens: TOKENS, estimatedTokens: TOKENS };
const usual = { ...LENGTHS, deadlineAtMs: DEADLINE_MS };

describe('while another instance serves the callers', () => {
  test('a stream that fits only without a pause that others had is refused', async () => {
    const { clock, gate, lines } = stopBusy(BESIDE_ANOTHER);
    await clock.advance(LATE_MS);
    const { kind } = gate.refusal(requestOf(usual))!;
    expect(kind).toBe(ErrorKind.Stopping);
    expect(lines).toMatchSnapshot();
  });

  test.each([
    { what: 'there is no other', peers: ALONE },
    {
      what: 'the other stops as well',
      peers: { candidates: [STOPPING], domainPeers: [STOPPING] },
    },
    {
      what: 'the other is not ready',
      peers: {
        candidates: [{ isReady: false, isStopping: false }],
        domainPeers: [{ isReady: false, isStopping: false }],
      },
    },
    { what: 'the other has fallen silent', peers: { candidates: [], domainPeers: [SERVING] } },
    {
      what: 'only one of three is left, so that the balancer uses all',
      peers: { candidates: [SERVING], domainPeers: [SERVING, SERVING] },
    },
  ])('and not where $what: what is expected to fit is taken', async ({ peers }) => {
    const { clock, gate } = stopBusy(peers);
    await clock.advance(LATE_MS);
    expect(gate.refusal(requestOf(usual))).toBeUndefined();
  });

  test.each([
    { what: 'a short one', request: { ...usual, outputTokens: 10 } },
    { what: 'one whose deadline comes first', request: { ...usual, deadlineAtMs: 7_000 } },
    {
      what: 'a booking, which is answered in any case',
      request: { ...usual, semantics: RouteSemantics.AtMostOnce },
    },
    { what: 'the rest of one that has begun', request: usual, progress: { begunAtMs: 1_000 } },
    { what: 'one that an engine may have run', request: usual, progress: { mayHaveRun: true } },
  ])(
    'what surely fits is taken, and what has run goes on: $what',
    async ({ request, progress }) => {
      const { clock, gate } = stopBusy(BESIDE_ANOTHER);
      await clock.advance(LATE_MS);
      expect(gate.refusal(requestOf(request), progress)).toBeUndefined();
    },
  );

  test.each([
    { what: 'that allows much, whatever its caller estimates', request: { outputTokens: 200 } },
    { what: 'of unknown length', request: { outputTokens: null } },
  ])('a stream is refused $what', ({ request }) => {
    const { gate } = stopBusy(BESIDE_ANOTHER, { pauseMs: 0 });
    expect(gate.refusal(requestOf({ ...usual, ...request }))?.kind).toBe(ErrorKind.Stopping);
  });

  test('a stream is refused beside one that has run for longer than all others did, until that one has ended', async () => {
    const { clock, gate } = stopBusy(BESIDE_ANOTHER, { pauseMs: 0 });
    const alike = { pool: 'engines', route: 'write', model: 'm', ...LENGTHS };
    const end = gate.recordBegun(alike, clock.nowMs() - REST_MS - PAUSE_MS);
    await clock.advance(LATE_MS);
    const beside = gate.refusal(requestOf(usual));
    end();
    const behind = gate.refusal(requestOf(usual));
    expect([beside?.kind, behind]).toEqual([ErrorKind.Stopping, undefined]);
  });

  test('a stream is refused after few others, whose slowest one is no bound', () => {
    const { gate } = stopBusy(BESIDE_ANOTHER, { answers: 3, pauseMs: 0 });
    expect(gate.refusal(requestOf(usual))?.kind).toBe(ErrorKind.Stopping);
  });

  test('no stream that is at most as slow as the slowest one before is broken off once taken', async () => {
    const answer = fc.record({
      startMs: fc.integer({ min: 0, max: 4_000 }),
      msPerToken: fc.integer({ min: 0, max: 100 }),
      outputTokens: fc.integer({ min: 1, max: 400 }),
      model: fc.constantFrom('m', 'other'),
    });
    const fraction = fc.double({ min: 0, max: 1, noNaN: true });
    await fc.assert(
      fc.asyncProperty(
        fc.array(answer, { maxLength: 32 }),
        fc.record({
          model: fc.constantFrom('m', 'other'),
          outputTokens: fc.option(fc.integer({ min: 1, max: 400 })),
          estimatedTokens: fc.option(fc.integer({ min: 1, max: 40 })),
          deadlineAtMs: fc.integer({ min: 1_000, max: DEADLINE_MS }),
        }),
        fc.integer({ min: 0, max: SEND_CUTOFF_MS - 1 }),
        fc.tuple(fraction, fraction),
        async (answers, asked, sentAtMs, [startFraction, paceFraction]) => {
          const { clock, gate } = beginStop(BESIDE_ANOTHER);
          answers.forEach(({ startMs, msPerToken, outputTokens, model }) =>
            gate.recordAnswer(
              { pool: 'engines', route: 'write', model, outputTokens, estimatedTokens: null },
              { firstEventMs: startMs, totalMs: startMs + outputTokens * msPerToken },
            ),
          );
          await clock.advance(sentAtMs);
          if (gate.refusal(requestOf(asked)) !== undefined) return;
          const alike = answers.filter(({ model }) => model === asked.model);
          const startMs = startFraction * Math.max(0, ...alike.map((one) => one.startMs));
          const msPerToken = paceFraction * Math.max(0, ...alike.map((one) => one.msPerToken));
          const wholeAtMs =
            sentAtMs + startMs + (asked.outputTokens ?? ENDLESS_TOKENS) * msPerToken;
          expect(Math.min(wholeAtMs, asked.deadlineAtMs)).toBeLessThanOrEqual(END_MS);
        },
      ),
    );
  });
});

test.each([
  { what: 'at once, as another instance serves', peers: BESIDE_ANOTHER, returnsAtMs: LATE_MS },
  {
    what: 'at once, as one of three is left',
    peers: { candidates: [SERVING], domainPeers: [SERVING, SERVING] },
    returnsAtMs: LATE_MS,
  },
  {
    what: 'when the balancer has turned away, as there is no other instance',
    peers: ALONE,
    returnsAtMs: SEND_CUTOFF_MS,
  },
  {
    what: 'when the balancer has turned away, as all stop',
    peers: { candidates: [STOPPING], domainPeers: [STOPPING] },
    returnsAtMs: SEND_CUTOFF_MS,
  },
  { what: 'at once, as it has by then', peers: ALONE, atMs: 3_000, returnsAtMs: 3_000 },
])('a caller who is refused in a stop comes back $what', async ({ peers, atMs, returnsAtMs }) => {
  const { clock, gate } = stopBusy(peers);
  await clock.advance(atMs ?? LATE_MS);
  const { retryAfterMs } = responseTo(
    gate.refusal(requestOf({ ...usual, outputTokens: 200, estimatedTokens: null }))!,
  );
  expect(clock.nowMs() + retryAfterMs!).toBe(returnsAtMs);
});
