/** A load whose announcement fails, by an error of this process, leaves its engine and its share of the weight store free. */
import VirtualClock from '@wisteriapath/virtual-clock';
import EngineRegistry from '../src/EngineRegistry';
import StoreLoadLimiter from '../src/StoreLoadLimiter';
import type TargetView from '../src/TargetView';

const ERROR = new Error('made to fail');
const WINDOW_MS = 5_000;

test('a load that could not be announced is over', async () => {
  const clock = new VirtualClock();
  const view = { entry: { id: 'engine', bornMs: 1, inMemory: new Set(), onDisk: new Set() } };
  let announcements = 0;
  const parts = {
    clock,
    authority: { isHeld: () => true, holder: 'one', fence: 1 },
    control: {},
    table: { get: () => view, applyPlacement: () => {} },
    log: { event: () => {} },
    publish: () => {
      announcements += 1;
      if (announcements === 1) throw ERROR;
    },
  } as unknown as ConstructorParameters<typeof EngineRegistry>[0];
  const limiter = new StoreLoadLimiter(clock, () => ({
    maxPerS: 10,
    windowMs: WINDOW_MS,
    maxActive: 1,
  }));
  const registry = new EngineRegistry(parts, limiter, () => {});
  const plan = {
    view: { ...view, models: new Map() } as unknown as TargetView,
    model: 'm',
    adapter: null,
    evictions: [],
    expectedMs: 100,
    fromStore: true,
    reason: 'demand',
  };
  await expect(registry.execute(plan)).rejects.toBe(ERROR);
  expect(registry.get('engine')).toMatchObject({ isBusy: false, loading: null });
  expect(limiter.hasCapacity).toBe(true);
});
