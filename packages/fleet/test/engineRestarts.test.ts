/** Engines that start while a placer holds the authority are ordered at once; others only once their reports reflect what earlier holders ordered. */
import VirtualClock from '@wisteriapath/virtual-clock';
import EngineRegistry from '../src/EngineRegistry';
import OrderAnswer from '../src/OrderAnswer';
import OrderKind from '../src/OrderKind';
import type TargetView from '../src/TargetView';

const REPORT_LAG_MS = 600;
const LATER_MS = 10_000;

const viewOf = (id: string, bornMs = 1): TargetView =>
  ({ entry: { id, bornMs }, models: new Map() }) as unknown as TargetView;

const start = ({ isBusy = false } = {}) => {
  const clock = new VirtualClock();
  const reported: string[] = [];
  const parts = {
    clock,
    authority: { isHeld: () => true, holder: 'one', fence: 1 },
    control: {
      order: () => Promise.resolve(OrderAnswer.Refused),
      report: ({ id }: { readonly id: string }) => {
        reported.push(id);
        return Promise.resolve({ isBusy, orderCount: 0, models: new Map() });
      },
    },
    table: { get: (id: string) => viewOf(id), applyPlacement: () => {} },
    log: { event: () => {} },
    publish: () => {},
  } as unknown as ConstructorParameters<typeof EngineRegistry>[0];
  const registry = new EngineRegistry(parts, {} as never, () => {});
  /** Whether an engine may be ordered this long after it was first looked at. */
  const isKnownAfter = async (id: string, waitMs: number): Promise<boolean> => {
    const { executor } = registry.engineOf(viewOf(id));
    expect(executor.isStateKnown).toBe(false);
    await clock.advance(waitMs);
    return executor.isStateKnown;
  };
  return { clock, registry, reported, isKnownAfter };
};

test('an engine that starts long after the authority began may be ordered at once', async () => {
  const { isKnownAfter } = start();
  await isKnownAfter('first', LATER_MS);
  expect(await isKnownAfter('started', 1)).toBe(true);
});

test('an engine that is there as the authority begins may be ordered once its report is settled', async () => {
  const { isKnownAfter } = start();
  expect(await isKnownAfter('there', REPORT_LAG_MS - 1)).toBe(false);
  expect(await isKnownAfter('seen later', 1)).toBe(true);
});

test('after the authority was lost, engines may be ordered once their reports are settled again', async () => {
  const { registry, isKnownAfter } = start();
  await isKnownAfter('there', LATER_MS);
  registry.clear();
  expect(await isKnownAfter('there', REPORT_LAG_MS - 1)).toBe(false);
});

test('an engine that is busy with an order of an earlier holder is not asked in each planning pass', async () => {
  const { clock, registry, reported } = start({ isBusy: true });
  const passMs = 10;
  const { executor } = registry.engineOf(viewOf('busy'));
  for (let passedMs = 0; passedMs < LATER_MS; passedMs += passMs) {
    expect(executor.isStateKnown).toBe(false);
    await clock.advance(passMs);
  }
  expect(reported.length).toBeLessThanOrEqual(LATER_MS / REPORT_LAG_MS);
});

test('after a failed order an engine is ordered again only once the other orders under way have ended', async () => {
  const { clock, registry, isKnownAfter } = start();
  await isKnownAfter('engine', LATER_MS);
  const { executor } = registry.engineOf(viewOf('engine'));
  await executor.applyChange({ kind: OrderKind.Load, model: 'm', adapter: 'a1' }, 0);
  expect(executor.isStateKnown).toBe(false);
  await clock.advance(REPORT_LAG_MS - 1);
  expect(executor.isStateKnown).toBe(false);
  await clock.advance(1);
  expect(executor.isStateKnown).toBe(true);
});
