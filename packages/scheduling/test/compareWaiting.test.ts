/** Guards the order of waiting work: urgent before deferrable, nothing starves, and sorting by it is well defined. */
import fc from 'fast-check';
import {
  agedPriority,
  compareWaiting,
  type RankedWork,
  rankWork,
  slackMs,
  Urgency,
  urgencyOf,
  urgentSlackMs,
  type WaitingWork,
} from '../src';

const RUNS = Number(process.env.FUZZ_RUNS ?? 500);
const SEED = process.env.FUZZ_SEED === undefined ? 20_261_207 : Number(process.env.FUZZ_SEED);
const LOAD_MS = 850;

const work = (more: Partial<WaitingWork> = {}): WaitingWork => ({
  priority: 0,
  latencyTargetMs: 500,
  waitedMs: 0,
  leftMs: 2_000,
  workMs: LOAD_MS,
  workspace: 'w',
  count: 1,
  ...more,
});

/** A request with an objective of 5 s and a deadline of 17 s, after a wait. */
const draft = (waitedMs: number, more: Partial<WaitingWork> = {}) =>
  work({ priority: 2, latencyTargetMs: 5_000, waitedMs, leftMs: 17_000 - waitedMs, ...more });

const ranks = (one: WaitingWork, other: WaitingWork) =>
  compareWaiting(rankWork(one, LOAD_MS), rankWork(other, LOAD_MS));

const ranked = fc.record<RankedWork>({
  priority: fc.integer({ min: 0, max: 9 }),
  slackMs: fc.integer({ min: -3_000, max: 20_000 }),
  waitedMs: fc.integer({ min: 0, max: 30_000 }),
  valuePerMs: fc.integer({ min: 0, max: 5 }),
});

describe('slack', () => {
  test.each([
    ['the objective while it can be met', work({ waitedMs: 100 }), 200, 200],
    ['the deadline once the objective cannot be met', work({ waitedMs: 100 }), 800, 1_200],
    ['the deadline if it comes before the objective', draft(0, { leftMs: 3_000 }), 800, 2_200],
    ['negative if the deadline cannot be met', work({ leftMs: 300 }), 800, -500],
  ])('counts until %s', (_, one, readyInMs, expected) => {
    expect(slackMs(one, readyInMs)).toBe(expected);
  });
});

describe('the order of waiting work', () => {
  test('puts an urgent request that misses its objective before a draft that can wait', () => {
    expect(ranks(work(), draft(0))).toBeLessThan(0);
  });

  test('puts a draft that is about to miss its objective before one that can wait', () => {
    expect(ranks(draft(3_500), draft(0))).toBeLessThan(0);
  });

  test('puts a draft that can wait before an urgent request that cannot be answered any more', () => {
    expect(ranks(draft(0), work({ leftMs: 300 }))).toBeLessThan(0);
  });

  test('puts urgent work of the same priority that keeps more per engine time first', () => {
    expect(ranks(work({ count: 3 }), work())).toBeLessThan(0);
    expect(ranks(work({ workMs: 400 }), work())).toBeLessThan(0);
  });

  test('puts a draft shortly before its deadline before urgent requests that have just arrived', () => {
    expect(ranks(draft(15_500), work({ count: 100 }))).toBeLessThan(0);
  });

  test('is a weak order, so that the result of a sort does not depend on the input order', () => {
    fc.assert(
      fc.property(ranked, ranked, ranked, (a, b, c) => {
        const ab = Math.sign(compareWaiting(a, b));
        const bc = Math.sign(compareWaiting(b, c));
        const ac = Math.sign(compareWaiting(a, c));
        if (ab !== -Math.sign(compareWaiting(b, a))) return false;
        if (ab <= 0 && bc <= 0) return ac <= 0 && (ac === 0) === (ab === 0 && bc === 0);
        return true;
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });

  test('never puts work that can wait before work that loses something soon', () => {
    fc.assert(
      fc.property(ranked, ranked, (one, other) => {
        const isUrgent = one.slackMs >= 0 && one.slackMs <= urgentSlackMs;
        if (!isUrgent || other.slackMs <= urgentSlackMs) return true;
        return compareWaiting(one, other) < 0;
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });

  test('lets everything become urgent before it is lost', () => {
    const anyWork = fc.record({
      latencyTargetMs: fc.integer({ min: 100, max: 10_000 }),
      deadlineMs: fc.integer({ min: 500, max: 30_000 }),
      readyInMs: fc.integer({ min: 0, max: 10_000 }),
    });
    fc.assert(
      fc.property(anyWork, ({ latencyTargetMs, deadlineMs, readyInMs }) => {
        const urgencies = Array.from({ length: deadlineMs / 100 + 1 }, (_, index) => {
          const waitedMs = index * 100;
          const at = work({ latencyTargetMs, waitedMs, leftMs: deadlineMs - waitedMs });
          return urgencyOf(slackMs(at, readyInMs));
        });
        const firstExpired = urgencies.indexOf(Urgency.Expired);
        return firstExpired <= 0 || urgencies[firstExpired - 1] === Urgency.Urgent;
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });

  test('improves the priority of any work without bound while it waits', () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 9 }), (priority) => {
        const waitedMs = (priority + 1) * 4_000;
        return agedPriority({ priority, waitedMs }) < agedPriority({ priority: 0, waitedMs: 0 });
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
