/** A broken stream goes on elsewhere only once its engine is known not to run it, and nobody waits longer than its request may. */
import { systemClock } from '@wisteriapath/model';
import { EngineContact, type EngineRuns, type RegisteredTarget } from '@wisteriapath/fleet';
import awaitRunEnd from '../src/awaitRunEnd';

const { Answered, Dropped, Refused, Silent, Unreachable } = EngineContact;
const LIMIT_MS = 1_500;
/** Longer than the age of a report. */
const LONG_AGO_MS = 10_000;

const listed: EngineRuns = { contact: Answered, ids: new Set(['a']), unlisted: 0 };
const absent: EngineRuns = { contact: Answered, ids: new Set(['b']), unlisted: 0 };
const waiting: EngineRuns = { contact: Answered, ids: new Set(), unlisted: 1 };
const unknown: EngineRuns = { contact: Answered, unlisted: 0 };
const of = (contact: EngineContact): EngineRuns => ({ contact, unlisted: 0 });

/** Asks about a request, with one answer after another; the last one is given for ever. */
const ask = async (answers: EngineRuns[], settledMs: number, abortAfterMs = LONG_AGO_MS) => {
  const lines: string[] = [];
  const over = new AbortController();
  const timer = setTimeout(() => over.abort(), abortAfterMs);
  const startedMs = systemClock.nowMs();
  let questions = 0;
  const runs = () => {
    const answer = answers[Math.min(questions, answers.length - 1)];
    questions += 1;
    return answer === undefined ? new Promise<EngineRuns>(() => {}) : Promise.resolve(answer);
  };
  const hasEnded = await awaitRunEnd(
    {
      clock: systemClock,
      log: { event: (name) => lines.push(name) },
      probe: { runs } as unknown as Parameters<typeof awaitRunEnd>[0]['probe'],
    },
    {
      attemptId: 'a',
      target: { id: 'one' } as RegisteredTarget,
      settledAtMs: startedMs - settledMs,
      lastMs: startedMs + LIMIT_MS,
      overSignal: over.signal,
    },
  );
  clearTimeout(timer);
  expect(lines).toEqual(['run_end_awaited']);
  return { hasEnded, tookMs: systemClock.nowMs() - startedMs };
};

describe('the end of a run whose connection broke', () => {
  test.each([
    ['refuses connections', [of(Refused)]],
    ['cannot be reached', [of(Silent), of(Unreachable)]],
    ['reports no such run', [absent]],
    ['lists the run for a while', [listed, listed, absent]],
    ['has requests beyond its list for a while', [waiting, absent]],
  ])('is known of an engine that %s', async (_, answers) => {
    const { hasEnded, tookMs } = await ask(answers, LONG_AGO_MS);
    expect(hasEnded).toBe(true);
    expect(tookMs).toBeLessThan(LIMIT_MS);
  });

  test.each([
    ['goes on listing it', [listed]],
    ['has requests beyond its list', [waiting]],
    ['says nothing of its runs', [unknown]],
    ['drops each question', [of(Dropped)]],
    ['is silent', [of(Silent)]],
    ['never answers', []],
  ])('is not known of an engine that %s, when the request is over', async (_, answers) => {
    const { hasEnded, tookMs } = await ask(answers, LONG_AGO_MS);
    expect(hasEnded).toBe(false);
    expect(tookMs).toBeLessThan(LIMIT_MS + 500);
  });

  test('is not told from a report that may be older than the request', async () => {
    const { hasEnded, tookMs } = await ask([absent], 0);
    expect(hasEnded).toBe(true);
    expect(tookMs).toBeGreaterThanOrEqual(600);
  });

  test('is not awaited for a caller who has left', async () => {
    const { hasEnded, tookMs } = await ask([listed], LONG_AGO_MS, 200);
    expect(hasEnded).toBe(false);
    expect(tookMs).toBeLessThan(LIMIT_MS);
  });
});
