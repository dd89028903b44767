/** A purse whose requests come faster than its home answers. */
import { Just } from 'purify-ts';
import { Deadline } from '@wisteriapath/model';
import VirtualClock from '@wisteriapath/virtual-clock';
import { type BudgetLink, BorrowerAccount, WorkspaceBudget } from '../src';

const ANSWER_MS = 50;
const DEADLINE_MS = 400;
const TOKENS = 10;

/** A purse with one home that has plenty and takes its time. */
const startPurse = () => {
  const clock = new VirtualClock();
  let calls = 0;
  let lentTotal = 0;
  const link: BudgetLink = {
    sync: async (_domain, { mostTokens }) => {
      calls += 1;
      await clock.sleep(ANSWER_MS);
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
  const purse = new WorkspaceBudget({
    workspace: 'w',
    accounts: [account],
    clock,
    refreshIntervalMs: 5_000,
  });
  return { clock, purse, calls: () => calls };
};

test('requests that wait together share one call, so that all of them are in time', async () => {
  const { clock, purse, calls } = startPurse();
  const reservations = Array.from({ length: 40 }, () =>
    purse.reserve(TOKENS, Deadline.after(clock, DEADLINE_MS)),
  );
  await clock.advance(DEADLINE_MS * 10);
  const results = await Promise.all(reservations);
  expect(results.filter((result) => result.isRight())).toHaveLength(40);
  expect(calls()).toBeLessThanOrEqual(3);
});

test('a request whose deadline passed in the queue costs no call', async () => {
  const { clock, purse, calls } = startPurse();
  const first = purse.reserve(TOKENS, Deadline.after(clock, DEADLINE_MS));
  const late = Array.from({ length: 40 }, () =>
    purse.reserve(TOKENS, Deadline.after(clock, ANSWER_MS / 2)),
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
