/** How requests wait for targets, and how many connections those that are woken together open. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { TargetTable, WaitingRequests } from '@wisteriapath/fleet';
import type AdmittedRequest from '../src/AdmittedRequest';
import type EdgeDependencies from '../src/EdgeDependencies';
import TargetFinder from '../src/TargetFinder';
import TargetLoads from '../src/TargetLoads';
import targetEntry from './support/targetEntry';

const WAIT_MS = 1_000;

test('the reported waiting time of a request grows until its search ends', async () => {
  const clock = new VirtualClock();
  const waiting = new WaitingRequests(clock, () => {});
  const deps = {
    clock,
    waiting,
    table: new TargetTable(clock),
    sendCutoffAtMs: () => Infinity,
    loads: { isReachable: () => true },
    connectionLimit: () => 1,
  } as unknown as EdgeDependencies;
  const request = {
    pool: { name: 'guides', engine: {}, maxConnections: 1, coldPerS: 0 },
    route: { latencyTargetMs: 2_000 },
    fields: { model: 'm', adapter: null },
  } as unknown as AdmittedRequest;
  const search = { excluded: new Map(), untilMs: WAIT_MS, isOver: () => false };
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
  const deps = {
    clock,
    table,
    waiting: new WaitingRequests(clock, () => {}),
    sendCutoffAtMs: () => Infinity,
    loads: new TargetLoads(clock),
    coldTargetLimiter: { tryTake: () => true },
    connectionLimit: (maxConnections: number) => maxConnections,
    failureDomain: 'a',
  } as unknown as EdgeDependencies;
  const request = {
    pool: { name: 'guides', engine: {}, maxConnections: 2, coldPerS: 0 },
    route: { latencyTargetMs: 2_000 },
    fields: { model: 'm', adapter: null, attemptId: 'one' },
  } as unknown as AdmittedRequest;
  const search = {
    excluded: new Map(),
    untilMs: WAIT_MS,
    isOver: () => false,
  };
  const finder = new TargetFinder(deps);
  const found = Promise.all(Array.from({ length: 5 }, () => finder.find(request, search)));
  await clock.advance(WAIT_MS / 2);
  table.applyEntry(targetEntry());
  await clock.advance(WAIT_MS);
  expect((await found).filter((chosen) => chosen !== undefined).length).toBe(2);
});
