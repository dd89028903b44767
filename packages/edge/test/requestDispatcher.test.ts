/** Guards that requests of deferring pools get the places at targets in order, at once when one is free, and that none is lost. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { TargetTable } from '@wisteriapath/fleet';
import type AdmittedRequest from '../src/AdmittedRequest';
import type ChosenTarget from '../src/ChosenTarget';
import EdgeMetrics from '../src/EdgeMetrics';
import RequestDispatcher from '../src/RequestDispatcher';
import TargetFinder from '../src/TargetFinder';
import createFinderDeps from './support/createFinderDeps';
import createTargetLoads from './support/createTargetLoads';
import searchUntil from './support/searchUntil';
import targetEntry from './support/targetEntry';

interface Kind {
  readonly priority: number;
  readonly latencyTargetMs: number;
  readonly leavesAfterMs: number;
}

const URGENT: Kind = { priority: 0, latencyTargetMs: 500, leavesAfterMs: 2_000 };
const DRAFT: Kind = { priority: 2, latencyTargetMs: 5_000, leavesAfterMs: 17_000 };

const start = ({ places = 1 } = {}) => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  const lines: { readonly name: string; readonly fields: unknown }[] = [];
  const log = { event: (name: string, fields: unknown) => lines.push({ name, fields }) };
  const metrics = new EdgeMetrics();
  const dispatcher = new RequestDispatcher({ clock, log, metrics, table });
  const loads = createTargetLoads(clock, table);
  const connectionLimit = () => places;
  const deps = createFinderDeps(clock, table, { dispatcher, loads, connectionLimit });
  const served: string[] = [];
  const ended: string[] = [];
  const chosen = new Map<string, ChosenTarget>();
  const find = (
    name: string,
    { priority, latencyTargetMs, leavesAfterMs }: Kind,
    { workspace = 'w', excluded = new Map<string, number>(), isOver = (): boolean => false } = {},
  ) => {
    const firstEventDeadlineAtMs = clock.nowMs() + leavesAfterMs;
    const request = {
      pool: { name: 'guides', engine: { models: new Map() }, maxConnections: 1, coldPerS: 0 },
      route: { name: 'r', latencyTargetMs },
      workspace: { name: workspace, defaultTokens: 10 },
      fields: { model: 'm', adapter: null, attemptId: name, tokens: null },
      deadlineAtMs: firstEventDeadlineAtMs,
      firstEventDeadlineAtMs,
      waitOrder: { priority, isDeferrable: priority > 0 },
    } as unknown as AdmittedRequest;
    const search = { ...searchUntil(firstEventDeadlineAtMs), excluded, isOver };
    return new TargetFinder(deps).find(request, search).then((found) => {
      ended.push(name);
      if (found === undefined) return;
      served.push(name);
      chosen.set(name, found);
    });
  };
  const finish = async (name: string) => {
    chosen.get(name)!.reservation.complete(false);
    await clock.advance(0);
  };
  return { clock, table, dispatcher, loads, lines, metrics, served, ended, find, finish };
};

test('a place that becomes free goes to the urgent request at once, though a draft came first', async () => {
  const { clock, table, served, find, finish } = start();
  table.applyEntry(targetEntry());
  void find('first', DRAFT);
  void find('draft', DRAFT);
  await clock.advance(10);
  void find('urgent', URGENT);
  await clock.advance(1);
  expect(served).toEqual(['first']);
  await finish('first');
  expect(served).toEqual(['first', 'urgent']);
  await finish('urgent');
  expect(served).toEqual(['first', 'urgent', 'draft']);
});

test('a request that finds a free place is given it before its search returns to the loop', async () => {
  const { clock, table, served, find, lines } = start();
  table.applyEntry(targetEntry());
  void find('one', URGENT);
  await clock.advance(0);
  expect(served).toEqual(['one']);
  expect(lines).toEqual([]);
});

test('requests that wait are served when the table changes, in order', async () => {
  const { clock, table, served, find } = start({ places: 2 });
  void find('d1', DRAFT);
  void find('d2', DRAFT);
  void find('u1', URGENT);
  void find('u2', URGENT);
  await clock.advance(300);
  expect(served).toEqual([]);
  table.applyEntry(targetEntry());
  await clock.advance(0);
  expect(served).toEqual(['u1', 'u2']);
});

test('the end of an exclusion is noticed though nothing else changes', async () => {
  const { clock, table, served, find } = start();
  table.applyEntry(targetEntry());
  void find('retry', URGENT, { excluded: new Map([['target-0', 150]]) });
  await clock.advance(149);
  expect(served).toEqual([]);
  await clock.advance(30);
  expect(served).toEqual(['retry']);
});

test('a request whose caller has left takes no place, and leaves the queue', async () => {
  const { clock, table, served, ended, dispatcher, find, finish } = start();
  let hasLeft = false;
  table.applyEntry(targetEntry());
  void find('first', URGENT);
  void find('left', URGENT, { isOver: () => hasLeft });
  void find('next', URGENT);
  await clock.advance(10);
  hasLeft = true;
  await finish('first');
  expect(served).toEqual(['first', 'next']);
  await clock.advance(200);
  expect(ended).toContain('left');
  expect(dispatcher.size).toBe(0);
});

test('a request that gets no place ends at its time, and its place stays free', async () => {
  const { clock, table, served, ended, dispatcher, loads, find, finish } = start();
  table.applyEntry(targetEntry());
  void find('first', DRAFT);
  void find('urgent', URGENT);
  await clock.advance(2_100);
  expect(ended).toEqual(['first', 'urgent']);
  expect(served).toEqual(['first']);
  await finish('first');
  expect([dispatcher.size, loads.ownRequests('target-0')]).toEqual([0, 0]);
});

test('each start after a wait writes a line and is counted', async () => {
  const { clock, table, find, lines, metrics } = start();
  void find('draft', DRAFT, { workspace: 'school' });
  await clock.advance(400);
  table.applyEntry(targetEntry());
  await clock.advance(0);
  const expected = {
    request: 'draft',
    workspace: 'school',
    priority: 2,
    waited_ms: 400,
    others: 0,
  };
  expect(lines).toEqual([
    { name: 'request_dispatched', fields: expect.objectContaining(expected) as unknown },
  ]);
  const { values } = await metrics.dispatched.get();
  expect(values.map(({ value }) => value)).toEqual([1]);
});

test('an error in the search for a target ends the search of that request only', async () => {
  const { clock, table, served, find, loads } = start({ places: 2 });
  const broken = jest.spyOn(loads, 'reserve').mockImplementationOnce(() => {
    throw new Error('made to fail');
  });
  const failing = expect(find('broken', URGENT)).rejects.toThrow('made to fail');
  void find('sound', DRAFT);
  table.applyEntry(targetEntry());
  await clock.advance(10);
  await failing;
  broken.mockRestore();
  await clock.advance(100);
  expect(served).toEqual(['sound']);
});
