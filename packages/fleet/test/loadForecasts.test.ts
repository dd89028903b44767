/** Guards that forecasts of loads refuse no request that could be served, and are not used for longer than they hold. */
import VirtualClock from '@wisteriapath/virtual-clock';
import type TargetView from '../src/TargetView';
import type WaitingModel from '../src/WaitingModel';
import LoadForecaster from '../src/LoadForecaster';
import LoadForecasts from '../src/LoadForecasts';
import forecastLoads from '../src/forecastLoads';
import readLoadForecast from '../src/readLoadForecast';
import type DemandSnapshot from '../src/DemandSnapshot';
import type { LoadForecast } from '../src';
import builders from './support/builders';

/** A load from a disk with an eviction. */
const LOAD_MS = 590;
const MODELS = Array.from({ length: 60 }, (_, number) => `m${number}`);

const viewOf = (id: string, copies: readonly string[] = MODELS) =>
  ({
    entry: builders.target(id, [], { onDisk: new Set(copies) }),
    droppedAtMs: new Map(),
    busyUntilMs: 0,
  }) as unknown as TargetView;

const waiting = (model: string, more: Partial<WaitingModel> = {}): WaitingModel => ({
  model,
  waitedMs: 0,
  latencyTargetMs: 500,
  leftMs: 17_000,
  worth: 1,
  canWait: false,
  order: { priority: 0, slackMs: 1_400 },
  isFromStore: false,
  ...more,
});

const forecast = (
  ranked: readonly WaitingModel[],
  { views = [viewOf('e0')], busyForMs = 0 } = {},
) => {
  const { models } = builders.engineSpec(...MODELS);
  const expected = forecastLoads({ nowMs: 0, views, busyUntilMs: () => busyForMs, models, ranked });
  return expected.map(({ readyInMs }) => readyInMs);
};

describe('the forecast of a placer', () => {
  test('lets the loads of one engine follow each other in the order of work', () => {
    expect(forecast([waiting('m0'), waiting('m1')])).toEqual([LOAD_MS, 2 * LOAD_MS]);
  });

  test('spreads loads over the engines, and begins after the change under way', () => {
    const views = [viewOf('e0'), viewOf('e1')];
    const ranked = [waiting('m0'), waiting('m1'), waiting('m2')];
    const expected = [300 + LOAD_MS, 300 + LOAD_MS, 300 + 2 * LOAD_MS];
    expect(forecast(ranked, { views, busyForMs: 300 })).toEqual(expected);
  });

  test('counts no load whose callers have left before it could start', () => {
    const short = { order: { priority: 0, slackMs: 500 } };
    const ranked = [waiting('m0'), waiting('m1', short), waiting('m2')];
    expect(forecast(ranked)).toEqual([LOAD_MS, 2 * LOAD_MS, 2 * LOAD_MS]);
  });

  test('waits for an engine with a copy rather than for the weight store', () => {
    const views = [viewOf('e0', ['m0', 'm1']), viewOf('e1', [])];
    expect(forecast([waiting('m0'), waiting('m1')], { views })).toEqual([LOAD_MS, 2 * LOAD_MS]);
  });
});

describe('the forecasts that a placer sends', () => {
  const start = () => {
    const clock = new VirtualClock();
    const sent: (readonly [LoadForecast, string])[] = [];
    const forecaster = new LoadForecaster(
      {
        clock,
        log: { event: () => {} },
        table: { inService: () => [viewOf('e0')] },
        publishForecast: (one, instance) => sent.push([one, instance]),
      },
      'a',
      { get: () => undefined },
    );
    const demandFrom = (...instances: readonly string[]) =>
      ({
        waiting: MODELS.map((model) => ({ model, adapter: null })),
        waitingInstances: new Map(MODELS.map((model) => [model, instances])),
      }) as unknown as DemandSnapshot;
    const engine = builders.engineSpec(...MODELS);
    const update = (ranked: readonly WaitingModel[], ...instances: readonly string[]) =>
      forecaster.update({ pool: 'guides', engine, demand: demandFrom(...instances) }, ranked);
    return { clock, sent, update };
  };

  test('name the models whose requests would be served too late, to the instances that wait', () => {
    const { sent, update } = start();
    const late = { order: { priority: 0, slackMs: 100 } };
    update([waiting('m0'), waiting('m1', late)], 'one');
    expect(sent).toEqual([[{ placer: 'a', pool: 'guides', models: [['m1', 2 * LOAD_MS]] }, 'one']]);
  });

  test('are bounded whatever the number of models and instances, and come at intervals', () => {
    const { clock, sent, update } = start();
    const ranked = MODELS.map((model) => waiting(model));
    const instances = Array.from({ length: 100 }, (_, number) => `i${number}`);
    update(ranked, ...instances);
    const rows = sent.reduce((count, [{ models }]) => count + models.length, 0);
    expect(rows).toBe(30);
    clock.skip(400);
    update(ranked, ...instances);
    expect(sent.reduce((count, [{ models }]) => count + models.length, 0)).toBe(rows);
  });
});

describe('the forecasts at an instance', () => {
  const start = () => {
    const clock = new VirtualClock();
    const forecasts = new LoadForecasts(clock);
    const record = (placer: string, readyInMs: number) =>
      forecasts.record({ placer, pool: 'guides', models: [['m', readyInMs]] });
    return { clock, forecasts, record, readyInMs: () => forecasts.readyInMs('guides', 'm') };
  };

  test('are used for 2 s at most, as their placer may have died', () => {
    const { clock, record, readyInMs } = start();
    record('a', 9_000);
    clock.skip(2_000);
    expect(readyInMs()).toBe(7_000);
    clock.skip(1);
    expect(readyInMs()).toBeUndefined();
  });

  test('count as the placer says that expects the load first', () => {
    const { record, readyInMs } = start();
    record('a', 9_000);
    record('b', 4_000);
    expect(readyInMs()).toBe(4_000);
  });

  test('replace the former one of their placer', () => {
    const { record, forecasts, readyInMs } = start();
    record('a', 9_000);
    forecasts.record({ placer: 'a', pool: 'guides', models: [] });
    expect(readyInMs()).toBeUndefined();
  });
});

test.each([
  ['nothing', null],
  ['no models', { placer: 'a', pool: 'p' }],
  ['a negative time', { placer: 'a', pool: 'p', models: [['m', -1]] }],
  ['a time that is no number', { placer: 'a', pool: 'p', models: [['m', '1e9']] }],
  ['an endless time', { placer: 'a', pool: 'p', models: [['m', Infinity]] }],
])('a message with %s is no forecast', (_, payload) => {
  expect(() => readLoadForecast(payload)).toThrow('not a forecast');
});
