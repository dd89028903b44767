/** Guards who gets the next free place: urgent requests before those that can wait, workspaces fairly, and nobody never. */
import fc from 'fast-check';
import { DispatchQueue, type DispatchRequest } from '../src';

const RUNS = Number(process.env.FUZZ_RUNS ?? 200);
const SEED = process.env.FUZZ_SEED === undefined ? 20_261_207 : Number(process.env.FUZZ_SEED);

/** A queue in front of a number of places, which tells the order in which requests take them. */
const start = (places = 0) => {
  const queue = new DispatchQueue();
  const state = { places, order: [] as string[], tries: 0 };
  const add = (name: string, more: Partial<DispatchRequest> = {}) =>
    queue.add({
      priority: 0,
      latencyTargetMs: 500,
      sinceMs: 0,
      leavesAtMs: 2_000,
      workspace: 'w',
      tokens: 100,
      need: 'm',
      isOver: () => false,
      tryStart: () => {
        state.tries += 1;
        if (state.places === 0) return false;
        state.places -= 1;
        state.order.push(name);
        return true;
      },
      ...more,
    });
  const addDraft = (name: string, more: Partial<DispatchRequest> = {}) =>
    add(name, { priority: 2, latencyTargetMs: 5_000, leavesAtMs: 17_000, ...more });
  const free = (count: number, nowMs: number) => {
    state.places = count;
    queue.dispatch(nowMs);
  };
  return { queue, state, add, addDraft, free };
};

describe('a free place', () => {
  test('goes to an urgent request before a draft that came first', () => {
    const { state, add, addDraft, free } = start();
    addDraft('draft');
    add('urgent', { sinceMs: 100, leavesAtMs: 2_100 });
    free(1, 200);
    expect(state.order).toEqual(['urgent']);
  });

  test('goes to a draft that is about to miss its objective before urgent requests that came later', () => {
    const { state, add, addDraft, free } = start();
    addDraft('draft');
    for (let number = 0; number < 5; number += 1) {
      add(`u${number}`, { sinceMs: 4_500, leavesAtMs: 6_500, tokens: 1_000 });
    }
    free(1, 4_600);
    expect(state.order).toEqual(['draft']);
  });

  test('goes to no request that is over, and costs none its turn', () => {
    const { state, add, free } = start();
    add('over', { isOver: () => true });
    add('next');
    free(1, 0);
    expect(state.order).toEqual(['next']);
  });

  test('is looked for once for all requests with the same need', () => {
    const { state, add, free } = start();
    for (let number = 0; number < 50; number += 1) add(`r${number}`);
    add('other', { need: 'n' });
    add('excluding', { need: null });
    free(0, 0);
    expect(state.tries).toBe(3);
  });

  test('goes to a request whose need can be met though that of a more urgent one cannot', () => {
    const { state, add, addDraft, free } = start();
    add('urgent', { need: 'absent', tryStart: () => false });
    addDraft('draft');
    free(1, 0);
    expect(state.order).toEqual(['draft']);
  });

  test('goes to no request that no longer waits', () => {
    const { queue, state, add, free } = start();
    add('gone')();
    free(1, 0);
    expect([state.order, queue.size]).toEqual([[], 0]);
  });
});

describe('workspaces', () => {
  test('with many requests do not delay one with few of the same urgency', () => {
    const { state, add, free } = start();
    for (let number = 0; number < 50; number += 1) add('flood', { workspace: 'flood' });
    for (let number = 0; number < 3; number += 1) add('calm', { workspace: 'calm', sinceMs: 1 });
    for (let count = 0; count < 10; count += 1) free(1, 10);
    expect(state.order.filter((name) => name === 'calm')).toHaveLength(3);
  });

  test('are served by tokens, so that short requests get more places than long ones', () => {
    const { state, add, free } = start();
    for (let number = 0; number < 60; number += 1) {
      add('long', { workspace: 'long', tokens: 300 });
      add('short', { workspace: 'short', tokens: 100 });
    }
    for (let count = 0; count < 40; count += 1) free(1, 10);
    const long = state.order.filter((name) => name === 'long').length;
    expect(long).toBeGreaterThanOrEqual(8);
    expect(long).toBeLessThanOrEqual(14);
  });
});

test('a draft with a deadline of 3 s is served though urgent requests arrive all the while', () => {
  const { state, add, addDraft, free } = start();
  addDraft('draft', { latencyTargetMs: 5_000, leavesAtMs: 3_000 });
  for (let nowMs = 0; nowMs < 3_000; nowMs += 100) {
    add('urgent', { sinceMs: nowMs, leavesAtMs: nowMs + 2_000 });
    add('urgent', { sinceMs: nowMs, leavesAtMs: nowMs + 2_000 });
    free(1, nowMs);
  }
  expect(state.order).toContain('draft');
});

test('every request is started exactly once if there are places for all', () => {
  const anyRequest = fc.record({
    priority: fc.nat(9),
    latencyTargetMs: fc.integer({ min: 100, max: 10_000 }),
    leavesAtMs: fc.integer({ min: 0, max: 20_000 }),
    workspace: fc.constantFrom('a', 'b', 'c'),
    tokens: fc.integer({ min: 1, max: 1_000 }),
    need: fc.constantFrom('m', 'n', null),
  });
  fc.assert(
    fc.property(fc.array(anyRequest, { maxLength: 40 }), fc.nat(20_000), (requests, nowMs) => {
      const { queue, state, add, free } = start();
      requests.forEach((request, index) => add(String(index), request));
      free(requests.length, nowMs);
      return queue.size === 0 && new Set(state.order).size === requests.length;
    }),
    { numRuns: RUNS, seed: SEED },
  );
});
