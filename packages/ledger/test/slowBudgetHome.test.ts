/** Guards a budget of which one home answers later than the requests can wait. */
import { Just, Nothing } from 'purify-ts';
import { Deadline } from '@wisteriapath/model';
import VirtualClock from '@wisteriapath/virtual-clock';
import { BorrowerAccount, BudgetHome, type BudgetLink, WorkspaceBudget } from '../src';

const TOKENS = 10;
const DEADLINE_MS = 250;
const SLOW_REPLY_MS = 300;
const FAST_REPLY_MS = 10;
const CALL_TIMEOUT_MS = 500;
const REFRESH_INTERVAL_MS = 200;
const USABLE_MS = 5_000;
const BURST = 900;
const RATE_PER_S = 300;

interface Options {
  /** Time until each home answers, in the order in which the budget asks them. */
  readonly replyMs: readonly number[];
  readonly burst?: number;
  readonly instances?: number;
}

/** Starts one home for each delay, and the budgets of instances that borrow from them. */
const startBudgets = ({ replyMs, burst = BURST, instances = 1 }: Options) => {
  const clock = new VirtualClock();
  const homes = replyMs.map(
    () =>
      new BudgetHome({
        clock,
        domainCount: replyMs.length,
        workspaceOf: () => ({ rateTokensPerS: RATE_PER_S, burstTokens: burst, weight: 1 }),
        isFirstHolder: () => true,
        heldEpoch: () => 1,
        writeOffMs: 60_000,
        loanLifetimeMs: 6_000,
      }),
  );
  const link: BudgetLink = {
    sync: async (domain, request) => {
      const reply = homes[Number(domain)].sync(request);
      const delayMs = replyMs[Number(domain)];
      await clock.sleep(Math.min(delayMs, CALL_TIMEOUT_MS));
      return delayMs < CALL_TIMEOUT_MS ? Just(reply) : Nothing;
    },
  };
  const budgets = Array.from({ length: instances }, () => {
    const accounts = homes.map(
      (_home, domain) =>
        new BorrowerAccount({
          workspace: 'w',
          failureDomain: String(domain),
          link,
          clock,
          usableMs: USABLE_MS,
        }),
    );
    const refreshIntervalMs = REFRESH_INTERVAL_MS;
    return {
      accounts,
      budget: new WorkspaceBudget({ workspace: 'w', accounts, clock, refreshIntervalMs }),
    };
  });
  const uses: { readonly atMs: number; readonly tokens: number }[] = [];
  /** Sends a request at a moment; resolves to what became of it, and how long it took. */
  const send = async (atMs: number, tokens = TOKENS, deadlineMs = DEADLINE_MS, instance = 0) => {
    await clock.sleep(atMs - clock.nowMs());
    const deadline = Deadline.after(clock, deadlineMs);
    const reserved = await budgets[instance].budget.reserve(tokens, deadline);
    const tookMs = clock.nowMs() - atMs;
    reserved.ifRight((reservation) => {
      uses.push({ atMs: clock.nowMs(), tokens });
      reservation.settle(tokens);
    });
    return { isServed: reserved.isRight(), tookMs, isInTime: tookMs <= deadlineMs };
  };
  return { clock, homes, budgets, uses, send };
};

/** Borrows all that a home can lend; returns how much that was. */
const lendAll = (home: BudgetHome): number =>
  home.sync({
    workspace: 'w',
    session: 'observer',
    epoch: 0,
    consumedTotal: 0,
    returnedTotal: 0,
    leastTokens: 1,
    neededTokens: BURST,
    mostTokens: BURST,
    mayQueue: false,
  }).lentTotal;

const evenly = (count: number, everyMs: number) =>
  Array.from({ length: count }, (_unused, index) => index * everyMs);

describe('a budget home that answers later than the requests can wait', () => {
  test.each([[0], [1], [2]])(
    'as number %i of three, does not keep requests from the tokens of the others',
    async (slow) => {
      const replyMs = [0, 1, 2].map((home) => (home === slow ? SLOW_REPLY_MS : FAST_REPLY_MS));
      const { clock, send } = startBudgets({ replyMs });
      const sent = evenly(20, 20).map((atMs) => send(atMs));
      await clock.advance(5_000);
      const results = await Promise.all(sent);
      expect(results.filter(({ isInTime }) => !isInTime)).toEqual([]);
      expect(results.filter(({ isServed }) => isServed)).toHaveLength(20);
    },
  );

  test('serves, with tokens that arrive late, the requests that are still in time', async () => {
    const { clock, send } = startBudgets({ replyMs: [SLOW_REPLY_MS] });
    const sent = evenly(20, 20).map((atMs) => send(atMs));
    await clock.advance(5_000);
    const results = await Promise.all(sent);
    expect(results.filter(({ isInTime }) => !isInTime)).toEqual([]);
    const servedAtMs = results.flatMap(({ isServed, tookMs }, index) =>
      isServed ? [index * 20 + tookMs] : [],
    );
    // The first call asked for one request's tokens; the second, at 300 ms, for those of all that waited.
    expect(servedAtMs).toEqual([SLOW_REPLY_MS, 2 * SLOW_REPLY_MS, 2 * SLOW_REPLY_MS]);
  });

  test('a request in the queue is refused at its own deadline, not at that of the request before', async () => {
    const { clock, send } = startBudgets({ replyMs: [FAST_REPLY_MS], burst: 100 });
    const before = send(0, 90, 5_000);
    const large = send(20, 90, 5_000);
    const small = send(40, 90);
    await clock.advance(10_000);
    expect(await before).toMatchObject({ isServed: true });
    expect(await large).toMatchObject({ isServed: true, isInTime: true });
    expect(await small).toMatchObject({ isServed: false, isInTime: true });
  });

  test('a request is not overtaken by one that came later', async () => {
    const { clock, send } = startBudgets({ replyMs: [FAST_REPLY_MS], burst: 100 });
    const order: string[] = [];
    const named = (name: string, ...rest: Parameters<typeof send>) =>
      send(...rest).then(() => order.push(name));
    const sent = [
      named('first', 0, 90, 5_000),
      named('large', 20, 90, 5_000),
      named('small', 40, 5, 5_000),
    ];
    await clock.advance(10_000);
    await Promise.all(sent);
    expect(order).toEqual(['first', 'large', 'small']);
  });

  test('gets back the tokens that arrived after the last deadline', async () => {
    const { clock, homes, budgets, send } = startBudgets({ replyMs: [SLOW_REPLY_MS] });
    const sent = send(0);
    await clock.advance(5_000);
    expect(await sent).toMatchObject({ isServed: false, isInTime: true });
    expect(budgets[0].accounts.map((account) => account.hasOutstandingTokens)).toEqual([false]);
    expect(lendAll(homes[0])).toBe(BURST);
  });

  test('gets back the tokens that arrive while the instance closes its budget', async () => {
    const { clock, homes, budgets, send } = startBudgets({ replyMs: [SLOW_REPLY_MS] });
    const sent = send(0);
    await clock.advance(DEADLINE_MS);
    expect(await sent).toMatchObject({ isServed: false });
    const closed = budgets[0].budget.close();
    await clock.advance(5_000);
    await closed;
    expect(lendAll(homes[0])).toBe(BURST);
  });

  test.each([
    [[SLOW_REPLY_MS, 10, 10]],
    [[90, 150, 240]],
    [[10, CALL_TIMEOUT_MS, SLOW_REPLY_MS]],
    [[400, 400, 400]],
  ])(
    'with homes that answer after %j ms, instances together stay within rate and burst',
    async (replyMs) => {
      const { clock, uses, send } = startBudgets({ replyMs, instances: 3 });
      const sent = evenly(800, 5).map((atMs, index) => send(atMs, 15, DEADLINE_MS, index % 3));
      await clock.advance(20_000);
      const results = await Promise.all(sent);
      expect(results.filter(({ isInTime }) => !isInTime)).toEqual([]);
      const excess = uses.map((first, from) => {
        let spent = 0;
        return Math.max(
          ...uses.slice(from).map((use) => {
            spent += use.tokens;
            return spent - BURST - (RATE_PER_S * (use.atMs - first.atMs)) / 1_000;
          }),
        );
      });
      expect(Math.max(...excess)).toBeLessThanOrEqual(1e-6);
    },
  );
});
