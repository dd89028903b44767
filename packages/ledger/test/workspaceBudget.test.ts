/** Guards a budget whose requests arrive faster than its home replies. */
import { Just } from 'purify-ts';
import { Deadline } from '@wisteriapath/model';
import VirtualClock from '@wisteriapath/virtual-clock';
import { type BudgetLink, BorrowerAccount, WorkspaceBudget } from '../src';

const REPLY_DELAY_MS = 50;
const DEADLINE_MS = 400;
const TOKENS = 10;

/** Starts a budget with one home that lends any amount but replies slowly. */
const startBudget = () => {
  const clock = new VirtualClock();
  let calls = 0;
  let lentTotal = 0;
  const link: BudgetLink = {
    sync: async (_domain, { mostTokens }) => {
      calls += 1;
      await clock.sleep(REPLY_DELAY_MS);
      lentTotal += mostTokens;
      return Just({ isHome: true, epoch: 1, sessionKnown: true, lentTotal, retryAfterMs: 0 });
    },
  };
  const usableMs = 10_000;
  const account = new BorrowerAccount({
    workspace: 'w',
    failureDomain: 'a',
    link,
    clock,
    usableMs,
  });
  const budget = new WorkspaceBudget({
    workspace: 'w',
    accounts: [account],
    clock,
    refreshIntervalMs: 5_000,
  });
  return { clock, budget, calls: () => calls };
};

test('requests that wait together share one call to the home, so that all meet their deadlines', async () => {
  const { clock, budget, calls } = startBudget();
  const reservations = Array.from({ length: 40 }, () =>
    budget.reserve(TOKENS, Deadline.after(clock, DEADLINE_MS)),
  );
  await clock.advance(DEADLINE_MS * 10);
  const results = await Promise.all(reservations);
  expect(results.filter((result) => result.isRight())).toHaveLength(40);
  expect(calls()).toBeLessThanOrEqual(3);
});

test('a request whose deadline passes in the queue causes no call to the home', async () => {
  const { clock, budget, calls } = startBudget();
  const first = budget.reserve(TOKENS, Deadline.after(clock, DEADLINE_MS));
  const late = Array.from({ length: 40 }, () =>
    budget.reserve(TOKENS, Deadline.after(clock, REPLY_DELAY_MS / 2)),
  );
  await clock.advance(DEADLINE_MS * 10);
  expect((await first).isRight()).toBe(true);
  const results = await Promise.all(late);
  expect(
    new Set(
      results.map((result) =>
        result
          .swap()
          .map(({ kind }) => kind)
          .orDefault('none' as never),
      ),
    ),
  ).toEqual(new Set(['deadline_expired']));
  expect(calls()).toBe(1);
});
