/** How many loads from the weight store run at full speed is learned from their times, over all pools. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { TargetTable } from '../src';
import StoreLoadMonitor from '../src/StoreLoadMonitor';
import builders from './support/builders';

const STORE_LOAD_MS = 6_000;
const STEP_MS = 100;

const start = () => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  const monitor = new StoreLoadMonitor({ clock, log: { event: () => {} } }, 4);
  let updates = 0;
  const announce = (target: string, loading: string | null, held: readonly string[]) => {
    updates += 1;
    table.applyPlacement({
      target,
      bornMs: 1,
      stamp: [1, updates],
      loading,
      isFromStore: loading !== null,
      busyForMs: STORE_LOAD_MS,
      models: held.map((model) => [model, []] as const),
    });
  };
  const observe = () => monitor.observe(table.allTargets(), (_, model) => builders.model(model));
  const pass = async (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      await clock.advance(STEP_MS);
      observe();
    }
  };
  /** Lets loads begin one after the other, of which each takes the time given, the shortest first. */
  const load = async (timesMs: readonly number[]) => {
    const ids = timesMs.map((_, number) => `engine-${updates}-${number}`);
    ids.forEach((id, number) => {
      table.applyEntry(builders.target(id, [], { pool: number % 2 === 0 ? 'guides' : 'others' }));
      announce(id, 'm', []);
      observe();
    });
    const during = monitor.freeSlots;
    for (const [number, id] of ids.entries()) {
      await pass(timesMs[number] - (timesMs[number - 1] ?? 0));
      announce(id, null, ['m']);
      observe();
    }
    return during;
  };
  return { monitor, load };
};

test('loads of several pools count together', async () => {
  const { monitor, load } = start();
  expect(await load([STORE_LOAD_MS, STORE_LOAD_MS, STORE_LOAD_MS])).toBe(1);
  expect(monitor.freeSlots).toBe(4);
});

test('slow loads lower the bound to what the store serves at full speed', async () => {
  const { monitor, load } = start();
  await load([1, 1, 1.5, 2].map((factor) => factor * STORE_LOAD_MS));
  expect(monitor.freeSlots).toBe(2);
});

test('one slow load lowers nothing, as it may have been ordered late', async () => {
  const { monitor, load } = start();
  await load([2 * STORE_LOAD_MS]);
  await load([STORE_LOAD_MS]);
  await load([2 * STORE_LOAD_MS]);
  expect(monitor.freeSlots).toBe(4);
});
