/** What a placer orders of the platform, and what it does when a machine, a link, the store or the interface fails halfway. */
import DutyAnswer from '../src/DutyAnswer';
import startScaler from './support/startScaler';

/** Time from the first observation to a decision: two boots of 8 s. A load of weights (6 s) and a boot are less. */
const WINDOW_MS = 16_000;
const DECIDED_MS = WINDOW_MS + 2_000;
/** Fills six engines of 16 places. */
const FULL = 96;
const IDLE = 10;

describe('the scaling of engines', () => {
  let system: ReturnType<typeof startScaler>;
  const start = (...options: Parameters<typeof startScaler>) => {
    system = startScaler(...options);
    return system;
  };
  afterEach(() => system.stop());

  test('orders a number once, with the machine and the token of its lease', async () => {
    const { state, run, calls } = start(6);
    state.busy = FULL;
    await run(WINDOW_MS - 1_000);
    expect(calls).toEqual([]);
    await run(3_000);
    expect(calls).toEqual([
      expect.objectContaining({
        pool: 'guides',
        failureDomain: 'a',
        count: 8,
        holder: 'machine-1',
        fence: 7,
      }),
    ]);
    expect(calls[0].isHeld()).toBe(true);
    await run(60_000);
    expect(calls).toHaveLength(1);
  });

  test('does nothing more once the engines that were ordered have registered', async () => {
    const { state, run, addEngines, counts } = start(6);
    state.busy = FULL;
    await run(DECIDED_MS);
    await run(8_000);
    addEngines(2);
    await run(60_000);
    expect(counts()).toEqual([8]);
  });

  test('gives up one engine at a time, each after a whole window', async () => {
    const { state, run, calls, register, engineIds } = start(6);
    state.busy = IDLE;
    await run(DECIDED_MS);
    register(engineIds[5], true);
    await run(2_000);
    system.table.remove(engineIds[5]);
    await run(WINDOW_MS + 6_000);
    expect(calls.map(({ count }) => count)).toEqual([5, 4]);
    expect(calls[1].atMs - calls[0].atMs).toBeGreaterThanOrEqual(WINDOW_MS);
  });

  test.each([undefined, null])('does nothing with limits that are %j', async (scaling) => {
    const { state, run, calls, linesOf } = start(6, { scaling });
    state.busy = FULL;
    await run(60_000);
    expect([calls, linesOf('scale_decided')]).toEqual([[], []]);
    expect(linesOf('scale_limits').length).toBe(scaling === null ? 1 : 0);
  });

  test('forgets a service whose limits are taken away', async () => {
    const { state, run, calls } = start(6);
    const { scaling } = state;
    state.busy = FULL;
    await run(WINDOW_MS - 1_000);
    state.scaling = undefined;
    await run(1_000);
    state.scaling = scaling;
    await run(WINDOW_MS - 1_000);
    expect(calls).toEqual([]);
  });

  describe('when the interface fails', () => {
    test.each([DutyAnswer.Unknown, DutyAnswer.Refused])(
      'sends an order again that is answered %s, less and less often, and no other one',
      async (answer) => {
        const { state, run, calls, counts } = start(6);
        state.busy = FULL;
        state.answer = () => answer;
        await run(DECIDED_MS + 5_000);
        expect(counts()).toEqual([8, 8, 8]);
        const [first, second, third] = calls.map(({ atMs }) => atMs);
        expect(third - second).toBeGreaterThan(second - first);
        state.answer = () => DutyAnswer.Accepted;
        await run(60_000);
        expect(counts()).toEqual([8, 8, 8, 8]);
      },
    );

    test('drops an order after a while, and observes a whole window before the next', async () => {
      const { state, run, calls, linesOf } = start(6);
      state.busy = FULL;
      state.answer = () => DutyAnswer.Unknown;
      await run(DECIDED_MS + 11_000);
      const before = calls.length;
      expect(linesOf('scale_dropped')).toHaveLength(1);
      await run(WINDOW_MS - 2_000);
      expect(calls).toHaveLength(before);
    });

    test('makes one call at a time, however slow the interface is', async () => {
      const { state, run, counts } = start(6);
      state.busy = FULL;
      state.answerAfterMs = 9_000;
      await run(DECIDED_MS + 5_000);
      expect(counts()).toEqual([8]);
    });

    test('keeps to its share of the calls', async () => {
      // Two placers and the holder of other duties share one call in two seconds.
      const { state, run, calls, addEngines } = start(6, { maxCallsPerS: 0.5 });
      state.pools = ['guides', 'desk'];
      addEngines(1, 'desk');
      state.busy = FULL;
      await run(DECIDED_MS + 10_000);
      expect(calls.map(({ pool }) => pool).sort()).toEqual(['desk', 'guides']);
      expect(Math.abs(calls[1].atMs - calls[0].atMs)).toBeGreaterThanOrEqual(6_000);
    });
  });

  describe('when the store is away or this instance is cut off', () => {
    test.each<[string, (state: ReturnType<typeof startScaler>['state']) => void]>([
      ['the store does not answer', (state) => Object.assign(state, { isStoreReachable: false })],
      ['the list of engines is old', (state) => Object.assign(state, { viewAgeMs: 5_000 })],
      [
        'the other instances are not heard',
        (state) => Object.assign(state, { reporting: ['one'] }),
      ],
      ['the authority is in doubt', (state) => Object.assign(state, { isHeld: false })],
    ])('orders nothing while %s', async (_, fail) => {
      const { state, run, calls } = start(6);
      state.busy = FULL;
      // Reports count for 3 s.
      await run(WINDOW_MS - 4_000);
      fail(state);
      await run(60_000);
      expect(calls).toEqual([]);
    });

    test('gives up no engine because it hears of no requests of the others', async () => {
      const { state, run, calls } = start(6);
      state.busy = 70;
      await run(5_000);
      // Known to run on the engines are only the own requests from here on.
      Object.assign(state, { reporting: ['one'], busy: IDLE });
      await run(120_000);
      expect(calls).toEqual([]);
    });

    test('does not send an order again on a view that has become old', async () => {
      const { state, run, calls } = start(6);
      state.busy = FULL;
      state.answer = () => DutyAnswer.Unknown;
      await run(DECIDED_MS);
      const before = calls.length;
      state.isStoreReachable = false;
      await run(60_000);
      expect(calls).toHaveLength(before);
    });
  });

  describe('when the placer changes', () => {
    test('the holder before sends nothing with the token of the next', async () => {
      const { state, run, calls } = start(6);
      state.busy = FULL;
      await run(DECIDED_MS);
      state.fence = 9;
      expect(calls[0].isHeld()).toBe(false);
    });

    test('the next one observes a whole window before it orders', async () => {
      const { state, run, calls } = start(6);
      state.busy = FULL;
      await run(WINDOW_MS - 1_000);
      state.fence = 9;
      await run(WINDOW_MS - 1_000);
      expect(calls).toEqual([]);
      await run(3_000);
      expect(calls.map(({ fence, count }) => [fence, count])).toEqual([[9, 8]]);
    });

    test('the next one orders nothing if the engines of the one before register', async () => {
      const { state, run, calls, addEngines } = start(6);
      state.busy = FULL;
      await run(4_000);
      addEngines(2);
      await run(60_000);
      expect(calls).toEqual([]);
    });
  });

  describe('when machines fail', () => {
    test('an engine that never starts is not ordered again', async () => {
      const { state, run, counts, addEngines } = start(6);
      state.busy = FULL;
      await run(DECIDED_MS);
      addEngines(1);
      await run(120_000);
      expect(counts()).toEqual([8]);
    });

    test('an engine that ends is replaced if the others are full without it, and none is given up', async () => {
      const { state, run, counts, engineIds } = start(6);
      state.busy = 60;
      await run(DECIDED_MS);
      engineIds.slice(0, 2).forEach((id) => system.table.remove(id));
      await run(30_000);
      expect(counts()).toEqual([5]);
    });

    test('a failure domain that is out of service is left alone', async () => {
      const { state, run, calls } = start(6);
      state.busy = FULL;
      await run(WINDOW_MS - 1_000);
      system.table.setDrainedDomains(new Set(['a']));
      await run(60_000);
      expect(calls).toEqual([]);
    });
  });

  test('says why a number was decided on, and why it stays, in a bounded number of lines', async () => {
    const { state, run, linesOf } = start(6);
    state.busy = 60;
    await run(60_000);
    state.busy = FULL;
    await run(60_000);
    const decided = linesOf('scale_decided');
    expect(decided.length).toBeLessThanOrEqual(6);
    expect(decided.some((line) => line.includes('"desired":8,"reason":"load","ready":6'))).toBe(
      true,
    );
    expect(linesOf('scale_ordered')).toHaveLength(1);
  });
});
