/** Guards that a load for requests that can wait evicts nothing that urgent requests used in the last seconds. */
import type DemandSnapshot from '../src/DemandSnapshot';
import type EngineRegistry from '../src/EngineRegistry';
import type TargetView from '../src/TargetView';
import createModelContext from '../src/createModelContext';
import builders from './support/builders';

const MODELS = ['chat', 'draft', 'idle'];

const contextFor = (isDeferring: boolean) => {
  const entry = builders.target('engine-0', MODELS, { onDisk: new Set(MODELS) });
  const view = { entry, models: entry.models, busyUntilMs: 0 } as unknown as TargetView;
  const demand = {
    waiting: [],
    modelRates: new Map([
      ['chat', 0.2],
      ['draft', 2],
    ]),
    deferrableRates: new Map([['draft', 2]]),
    running: new Map(),
    unreachable: new Set(),
  } as unknown as DemandSnapshot;
  const engine = {
    isBusy: false,
    loadingAdapters: new Set(),
    avoidUntilMs: 0,
    executor: { isStateKnown: true },
    loadedMs: new Map(),
  };
  const registry = { get: () => engine, engineOf: () => engine } as unknown as EngineRegistry;
  const input = { views: [view], own: [view], engine: builders.engineSpec(...MODELS), demand };
  const context = createModelContext({ ...input, isDeferring, speeds: undefined }, registry, 0);
  const names = (options: typeof context.evictions) => options.on(view).map(({ model }) => model);
  return { all: names(context.evictions), deferrable: names(context.deferrableEvictions) };
};

test('it evicts idle models first, then those that only drafts use, and never one in urgent use', () => {
  expect(contextFor(true).deferrable).toEqual(['idle', 'draft']);
});

test('an urgent load may evict any model that is not in use, and those of drafts at a lower cost', () => {
  expect(contextFor(true).all).toHaveLength(3);
});

test('in any other pool models are evicted by their rates alone', () => {
  const { all, deferrable } = contextFor(false);
  expect(all).toEqual(['idle', 'chat', 'draft']);
  expect(deferrable).toEqual(all);
});
