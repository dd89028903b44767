/** How requests wait for targets, and how many connections those that are woken together open. */
import VirtualClock from '@wisteriapath/virtual-clock';
import {
  type PlacementUpdate,
  type RegisteredTarget,
  TargetTable,
  WaitingRequests,
} from '@wisteriapath/fleet';
import type AdmittedRequest from '../src/AdmittedRequest';
import EdgeMetrics from '../src/EdgeMetrics';
import RequestDispatcher from '../src/RequestDispatcher';
import TargetFinder from '../src/TargetFinder';
import createFinderDeps from './support/createFinderDeps';
import searchUntil from './support/searchUntil';
import targetEntry from './support/targetEntry';

const WAIT_MS = 1_000;

test('the reported waiting time of a request grows until its search ends', async () => {
  const clock = new VirtualClock();
  const waiting = new WaitingRequests(clock, () => {});
  const deps = createFinderDeps(clock, new TargetTable(clock), {
    waiting,
    loads: { isReachable: () => true },
  });
  const request = {
    pool: { name: 'guides', engine: { models: new Map() }, maxConnections: 1, coldPerS: 0 },
    route: { latencyTargetMs: 2_000 },
    fields: { model: 'm', adapter: null },
  } as unknown as AdmittedRequest;
  const search = searchUntil(WAIT_MS);
  const found = new TargetFinder(deps).find(request, search);
  await clock.advance(WAIT_MS * 0.9);
  expect(waiting.demands.map(({ waitedMs }) => waitedMs)).toEqual([WAIT_MS * 0.9]);
  await clock.advance(WAIT_MS);
  expect(await found).toBeUndefined();
  expect(waiting.demands).toEqual([]);
});

test('requests that are woken together open no more connections than the share of their instance', async () => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  const deps = createFinderDeps(clock, table);
  const request = {
    pool: { name: 'guides', engine: { models: new Map() }, maxConnections: 2, coldPerS: 0 },
    route: { latencyTargetMs: 2_000 },
    fields: { model: 'm', adapter: null, attemptId: 'one' },
  } as unknown as AdmittedRequest;
  const search = searchUntil(WAIT_MS);
  const finder = new TargetFinder(deps);
  const found = Promise.all(Array.from({ length: 5 }, () => finder.find(request, search)));
  await clock.advance(WAIT_MS / 2);
  table.applyEntry(targetEntry());
  await clock.advance(WAIT_MS);
  expect((await found).filter((chosen) => chosen !== undefined).length).toBe(2);
});

describe('a request whose model no engine holds', () => {
  const STORE_LOAD_MS = 6_000;
  const PATIENCE_MS = 2_300;

  const start = (entry: Partial<RegisteredTarget>, update?: PlacementUpdate) => {
    const clock = new VirtualClock();
    const table = new TargetTable(clock);
    const waiting = new WaitingRequests(clock, () => {});
    const target = { models: new Map([['other', new Set<string>()]]), ...entry };
    table.applyEntry(targetEntry(target));
    if (update !== undefined) table.applyPlacement(update);
    const deps = createFinderDeps(clock, table, { waiting });
    const times = { storeLoadMs: STORE_LOAD_MS, diskLoadMs: 1_700, memoryLoadMs: 1_200 };
    const models = new Map([['m', { name: 'm', sizeMb: 1, adapterSizeMb: 0, ...times }]]);
    const request = {
      pool: { name: 'guides', engine: { models }, maxConnections: 4, coldPerS: 0 },
      route: { latencyTargetMs: 600 },
      fields: { model: 'm', adapter: null, attemptId: 'one' },
      deadlineAtMs: 15_000,
    } as unknown as AdmittedRequest;
    const finder = new TargetFinder(deps);
    let outcome: string | undefined;
    const search = searchUntil(PATIENCE_MS);
    const found = finder.find(request, search).then((chosen) => {
      outcome = chosen === undefined ? 'unserved' : 'served';
    });
    return { clock, table, waiting, finder, request, found, outcome: () => outcome };
  };

  test('is refused at once with the time of the load, if that takes longer than the request can wait', async () => {
    const { clock, finder, request, outcome } = start({});
    await clock.advance(10);
    expect(outcome()).toBe('unserved');
    expect(finder.retryAfterMs(request)).toBe(STORE_LOAD_MS);
  });

  test('counts as waiting until the model is held, so that it is when the caller comes back', async () => {
    const { clock, table, waiting } = start({});
    await clock.advance(3_000);
    expect(waiting.demands.map(({ model }) => model)).toEqual(['m']);
    table.applyEntry(targetEntry({ entryNumber: 2 }));
    await clock.advance(500);
    expect(waiting.demands).toEqual([]);
  });

  test('no longer counts as waiting when the caller does not come back', async () => {
    const { clock, waiting } = start({});
    await clock.advance(7_000);
    expect(waiting.demands).toEqual([]);
  });

  test.each([
    ['in the memory of an engine', { inMemory: new Set(['m']) }],
    ['on the disk of an engine', { onDisk: new Set(['m']) }],
  ])('waits while there is a copy %s', async (_, entry) => {
    const { clock, table, found, outcome } = start(entry);
    await clock.advance(500);
    expect(outcome()).toBeUndefined();
    table.applyEntry(targetEntry({ entryNumber: 2 }));
    await clock.advance(100);
    await found;
    expect(outcome()).toBe('served');
  });

  test.each([
    [2_000, undefined],
    [3_000, 'unserved'],
  ])(
    'while it is loaded for %d ms more, waits only if that is in time',
    async (busyForMs, outcome) => {
      const update = { target: 'target-0', bornMs: 1, stamp: [1, 1] as const, models: [] };
      const loading = { ...update, loading: 'm', isFromStore: true, busyForMs };
      const started = start({}, loading);
      await started.clock.advance(1_000);
      expect(started.outcome()).toBe(outcome);
    },
  );
});

describe('a request of a deferring pool whose model is put off', () => {
  const LOAD_MS = 800;
  const LEAVES_AFTER_MS = 2_000;

  const start = () => {
    const clock = new VirtualClock();
    const table = new TargetTable(clock);
    table.applyEntry(targetEntry({ models: new Map(), onDisk: new Set(['m']) }));
    const lines: string[] = [];
    const log = { event: (name: string) => lines.push(name) };
    const metrics = new EdgeMetrics();
    const waiting = new WaitingRequests(clock, () => {});
    const dispatcher = new RequestDispatcher({ clock, log, metrics, table });
    const deps = createFinderDeps(clock, table, { waiting, log, metrics, dispatcher });
    const times = { storeLoadMs: 6_000, diskLoadMs: LOAD_MS, memoryLoadMs: LOAD_MS };
    const models = new Map([['m', { name: 'm', sizeMb: 1, adapterSizeMb: 0, ...times }]]);
    const request = {
      pool: { name: 'guides', engine: { models }, maxConnections: 4, coldPerS: 0 },
      route: { name: 'r', latencyTargetMs: 500 },
      workspace: null,
      fields: { model: 'm', adapter: null, attemptId: 'one', tokens: null },
      deadlineAtMs: 17_000,
      firstEventDeadlineAtMs: LEAVES_AFTER_MS,
      waitOrder: { priority: 0, isDeferrable: false },
    } as unknown as AdmittedRequest;
    const finder = new TargetFinder(deps);
    let hasEnded = false;
    const search = searchUntil(LEAVES_AFTER_MS);
    void finder.find(request, search).then(() => {
      hasEnded = true;
    });
    const forecast = (readyInMs: number) =>
      table.forecasts.record({ placer: 'a', pool: 'guides', models: [['m', readyInMs]] });
    return { clock, table, waiting, finder, request, lines, forecast, hasEnded: () => hasEnded };
  };

  test('is refused as soon as its placer expects the load too late, with that time to come back', async () => {
    const { clock, finder, request, lines, waiting, forecast, hasEnded } = start();
    await clock.advance(300);
    expect(hasEnded()).toBe(false);
    forecast(3_000);
    await clock.advance(100);
    expect(hasEnded()).toBe(true);
    expect(finder.retryAfterMs(request)).toBeGreaterThan(2_800);
    expect(lines).toEqual(['refused_early']);
    expect(waiting.demands).toEqual([]);
  });

  test('waits if its placer expects the load in time', async () => {
    const { clock, forecast, hasEnded } = start();
    forecast(1_200);
    await clock.advance(1_000);
    expect(hasEnded()).toBe(false);
  });

  test('waits if the load has begun since the forecast', async () => {
    const { clock, table, forecast, hasEnded } = start();
    const update = { target: 'target-0', bornMs: 1, stamp: [1, 1] as const, models: [] };
    forecast(3_000);
    table.applyPlacement({ ...update, loading: 'm', isFromStore: false, busyForMs: LOAD_MS });
    await clock.advance(500);
    expect(hasEnded()).toBe(false);
  });
});
