/** Counts by window, and the sums of what instances sent in any order. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { TrueTime, UsageCollector, UsageCounter, usageMessages } from '../src';

const WINDOW_MS = 5_000;
const EPOCH_MS = 1_767_225_600_000;
const FIRST_WINDOW = EPOCH_MS / WINDOW_MS;

const start = () => {
  const clock = new VirtualClock();
  const time = new TrueTime(clock);
  return { clock, time, counter: new UsageCounter(time, WINDOW_MS) };
};

const learn = (time: TrueTime, nowMs: number) =>
  time.observePeer({ lowMs: EPOCH_MS + nowMs, highMs: EPOCH_MS + nowMs });

test('requests count in the window in which they began, and only complete windows are told', async () => {
  const { clock, time, counter } = start();
  learn(time, 0);
  counter.record('one');
  await clock.advance(4_900);
  counter.record('two');
  expect(counter.completeWindows(0)).toHaveLength(8);
  expect(counter.completeWindows(FIRST_WINDOW)).toEqual([]);
  await clock.advance(200);
  counter.record('one');
  expect(counter.completeWindows(FIRST_WINDOW)).toEqual([
    {
      window: FIRST_WINDOW,
      counts: new Map([
        ['one', 1],
        ['two', 1],
      ]),
    },
  ]);
});

test('requests before the true time is known are counted as unplaced', () => {
  const { counter } = start();
  counter.record('one');
  expect(counter.unplaced).toBe(1);
  expect(counter.completeWindows(0)).toEqual([]);
});

test('counts of old windows are dropped', async () => {
  const { clock, time, counter } = start();
  for (let index = 0; index < 100; index += 1) {
    learn(time, clock.nowMs());
    counter.record('one');
    await clock.advance(WINDOW_MS);
  }
  learn(time, clock.nowMs());
  expect(counter.completeWindows(0)).toHaveLength(8);
});

const origin = (instance: string) => ({ instance, incarnation: '1', window: 7 });

// Guards against counts that grow with repetitions, as messages are repeated until the window is decided.
test('repeated and reordered parts are summed once', () => {
  const collector = new UsageCollector();
  const counts = new Map(Array.from({ length: 300 }, (_, index) => [`workspace-${index}`, 2]));
  const messages = usageMessages(origin('one'), counts);
  expect(messages.length).toBeGreaterThan(1);
  [...messages]
    .reverse()
    .slice(1)
    .forEach((message) => collector.merge(message));
  expect(collector.reportedBy(7).size).toBe(0);
  messages.forEach((message) => collector.merge(message));
  usageMessages(origin('two'), new Map([['workspace-0', 5]])).forEach((message) =>
    collector.merge(message),
  );
  usageMessages(origin('three'), new Map()).forEach((message) => collector.merge(message));
  expect([...collector.reportedBy(7)].sort()).toEqual(['one#1', 'three#1', 'two#1']);
  expect(collector.sum(7)['workspace-0']).toBe(7);
  expect(Object.keys(collector.sum(7))).toHaveLength(300);
});

test('an instance that restarted adds to what its earlier run counted', () => {
  const collector = new UsageCollector();
  const rows = new Map([['a', 3]]);
  usageMessages(origin('one'), rows).forEach((message) => collector.merge(message));
  usageMessages({ ...origin('one'), incarnation: '2' }, rows).forEach((message) =>
    collector.merge(message),
  );
  expect(collector.sum(7)).toEqual({ a: 6 });
});

test('windows that are too old or too far ahead are forgotten', () => {
  const collector = new UsageCollector();
  [7, 100, 1_000_000].forEach((window) =>
    usageMessages({ ...origin('one'), window }, new Map([['a', 3]])).forEach((message) =>
      collector.merge(message),
    ),
  );
  collector.retain(101);
  expect([7, 100, 1_000_000].map((window) => collector.reportedBy(window).size)).toEqual([0, 1, 0]);
});
