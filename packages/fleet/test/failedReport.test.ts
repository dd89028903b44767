/** An engine whose report could not be read, by an error of this process, is asked again: otherwise it would get no order. */
import VirtualClock from '@wisteriapath/virtual-clock';
import EngineOrderExecutor from '../src/EngineOrderExecutor';
import type EngineReport from '../src/EngineReport';
import type TargetView from '../src/TargetView';

const LONG_MS = 10_000;
const REPORT: EngineReport = {
  isBusy: false,
  orderCount: 3,
  models: new Map(),
  running: 0,
  waiting: 0,
};

test('a report that fails once is read again', async () => {
  const clock = new VirtualClock();
  const lines: string[] = [];
  const view = { entry: { id: 'engine', bornMs: 1 }, models: new Map() } as unknown as TargetView;
  let reports = 0;
  const report = () => {
    reports += 1;
    return reports === 1 ? Promise.reject(new Error('made to fail')) : Promise.resolve(REPORT);
  };
  const executor = new EngineOrderExecutor(
    {
      clock,
      authority: { isHeld: () => true, holder: 'one', fence: 1 },
      control: { report },
      table: { get: () => view, applyPlacement: () => {} },
      log: { event: (name: string) => lines.push(name) },
      publish: () => {},
    } as unknown as ConstructorParameters<typeof EngineOrderExecutor>[0],
    view,
  );
  expect(executor.isStateKnown).toBe(false);
  await clock.advance(LONG_MS);
  expect(lines).toEqual(['report_failed']);
  expect(executor.isStateKnown).toBe(false);
  await clock.advance(LONG_MS);
  expect(executor.isStateKnown).toBe(true);
});
