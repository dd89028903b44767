/** True time from whole-second dates, on machines whose monotonic clock means nothing by itself. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { TrueTime } from '../src';

const EPOCH_MS = 1_767_225_600_000;
const LATENCY_MS = 4;

const start = () => {
  const clock = new VirtualClock();
  const time = new TrueTime(clock);
  let offsetMs = EPOCH_MS + 345;
  const trueMs = () => clock.nowMs() + offsetMs;
  const date = (atMs: number) => Math.floor(atMs / 1_000) * 1_000;
  /** Calls the store once; its clock may be wrong. */
  const call = async (errorMs = 0) => {
    const sentMs = clock.nowMs();
    await clock.advance(LATENCY_MS / 2);
    const dateMs = date(trueMs() + errorMs);
    await clock.advance(LATENCY_MS / 2);
    time.observe({ sentMs, receivedMs: clock.nowMs(), dateMs });
  };
  const callOften = async (count: number) => {
    for (let index = 0; index < count; index += 1) {
      await call();
      await clock.advance(173);
    }
  };
  return {
    clock,
    time,
    trueMs,
    call,
    callOften,
    jump: (byMs: number) => {
      offsetMs += byMs;
    },
  };
};

const isWithinBounds = ({ time, trueMs }: ReturnType<typeof start>) =>
  time.bounds!.lowMs <= trueMs() && trueMs() <= time.bounds!.highMs;

test('nothing is known before the first answer', () => {
  const { time } = start();
  expect(time.nowMs).toBeUndefined();
  expect(time.errorMs).toBe(Infinity);
});

// 100 ms are 2% of a window, below the tolerance of 5%.
test('many answers narrow the bounds below the resolution of a date', async () => {
  const world = start();
  await world.call();
  expect(world.time.errorMs).toBeGreaterThan(500);
  expect(isWithinBounds(world)).toBe(true);
  await world.callOften(40);
  expect(world.time.errorMs).toBeLessThan(100);
  expect(isWithinBounds(world)).toBe(true);
});

// Guards against one machine of the store with a wrong clock, which would shift all windows.
test('a single wrong date changes nothing', async () => {
  const world = start();
  await world.callOften(40);
  await world.call(9_000);
  await world.call();
  await world.call(-9_000);
  expect(isWithinBounds(world)).toBe(true);
});

// Guards against bounds that stay wrong after the machine was suspended.
test('a jump of the monotonic clock is followed after three answers', async () => {
  const world = start();
  await world.callOften(40);
  world.jump(60_000);
  await world.callOften(3);
  expect(isWithinBounds(world)).toBe(true);
});

test('a peer narrows the time of an instance that rarely calls the store', async () => {
  const world = start();
  await world.call();
  for (const delayMs of [40, 3, 250]) {
    const sentMs = world.trueMs();
    await world.clock.advance(delayMs);
    world.time.observePeer({ lowMs: sentMs - 5, highMs: sentMs + 5 });
  }
  expect(world.time.errorMs).toBeLessThan(10);
  expect(isWithinBounds(world)).toBe(true);
});

test('a peer whose time contradicts the store is not believed', async () => {
  const world = start();
  await world.callOften(10);
  const wrongMs = world.trueMs() + 7_000;
  world.time.observePeer({ lowMs: wrongMs, highMs: wrongMs + 1 });
  world.time.observePeer({ lowMs: NaN, highMs: wrongMs });
  expect(isWithinBounds(world)).toBe(true);
});

// Found on a deployment whose store sends no `Date`: no window was ever decided.
describe('without dated answers', () => {
  const startUndated = () => {
    const clock = new VirtualClock();
    const time = new TrueTime(clock);
    const trueMs = () => clock.nowMs() + EPOCH_MS;
    /** Instances tell their clocks, each with its error. */
    const tell = (errorsMs: readonly number[]) => {
      errorsMs.forEach((errorMs, index) => time.observeClock(`edge-${index}`, trueMs() + errorMs));
    };
    return { clock, time, trueMs, tell };
  };

  test('the median of the clocks is the time', () => {
    const { time, trueMs, tell } = startUndated();
    tell([-20, 5, 30]);
    expect(time.nowMs! - trueMs()).toBe(5);
    expect(time.errorMs).toBe(200);
  });

  test('clocks that have jumped by seconds, fewer than half of them, do not move it', () => {
    const { time, trueMs, tell } = startUndated();
    tell([-10, 0, 10, 5_000, -7_000]);
    tell([-10, 0, 10, 9_000, 9_000]);
    expect(Math.abs(time.nowMs! - trueMs())).toBeLessThanOrEqual(10);
  });

  test('two clocks tell nothing', () => {
    const { time, tell } = startUndated();
    tell([0, 0]);
    expect(time.nowMs).toBeUndefined();
  });

  test('clocks that are not heard any more do not count', async () => {
    const { clock, time, tell } = startUndated();
    tell([0, 0, 0]);
    await clock.advance(6_000);
    expect(time.nowMs).toBeUndefined();
  });

  test('a time that is none is ignored', () => {
    const { time } = startUndated();
    ['a', 'b', 'c'].forEach((name) => time.observeClock(name, NaN));
    expect(time.nowMs).toBeUndefined();
  });
});
