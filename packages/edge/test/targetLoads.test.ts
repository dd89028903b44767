/** A target that comes back under its id, started anew, is not judged by what befell the one before. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { type RegisteredTarget, TargetTable } from '@wisteriapath/fleet';
import type ResponseFields from '../src/ResponseFields';
import type TargetLoads from '../src/TargetLoads';
import createTargetLoads from './support/createTargetLoads';
import targetEntry from './support/targetEntry';

/** Longer than a target may leave all its requests unanswered. */
const SILENT_MS = 1_000;
const FULL = { load: { running: 8, waiting: 8 } } as ResponseFields;

describe('a target that started anew', () => {
  const first = targetEntry({ bornMs: 1 });
  const { id } = first;
  let clock: VirtualClock;
  let table: TargetTable;
  let loads: TargetLoads;
  beforeEach(() => {
    clock = new VirtualClock();
    table = new TargetTable(clock);
    table.applyEntry(first);
    loads = createTargetLoads(clock, table);
  });

  const reserve = () => loads.reserve(id, 'm', null);
  const startAnew = (more: Partial<RegisteredTarget> = {}) =>
    table.applyEntry({ ...first, bornMs: 2, ...more });
  const expectNew = () => {
    expect(loads.ownRequests(id)).toBe(0);
    expect(loads.cost(first)).toBe(0);
    expect([loads.isReachable(id), loads.findUnreachable()]).toEqual([true, []]);
    expect(loads.running).toEqual([]);
  };

  const BEFORE: Readonly<Record<string, () => unknown>> = {
    'requests in progress': () => reserve(),
    'requests without an answer': async () => {
      reserve();
      await clock.advance(SILENT_MS);
    },
    'connections that did not open': () => {
      const reservation = reserve();
      reservation.recordConnectFailure();
      reservation.complete(true);
    },
    failures: () => reserve().complete(true),
    'a full queue': () => {
      const reservation = reserve();
      reservation.recordResponse(FULL);
      reservation.release();
    },
  };

  test.each(Object.entries(BEFORE))('has none of its %s', async (_, happen) => {
    await happen();
    startAnew();
    expectNew();
  });

  test('is not burdened when the requests of the one before end', async () => {
    const earlier = reserve();
    startAnew();
    const later = reserve();
    earlier.recordConnectFailure();
    earlier.complete(true);
    expect([loads.ownRequests(id), loads.isReachable(id)]).toEqual([1, true]);
    later.complete(false);
    expectNew();
  });

  test('is known by its own load once it has answered', () => {
    reserve();
    startAnew();
    reserve().recordResponse(FULL);
    expect(loads.running).toEqual([[id, 'm', '', 1]]);
    expect(loads.cost(first)).toBeGreaterThan(1);
  });

  test('is another one only by its start, not by a further entry', () => {
    reserve();
    table.applyEntry({ ...first, entryNumber: first.entryNumber + 1 });
    expect(loads.ownRequests(id)).toBe(1);
  });

  test('goes on with its requests though it is known no longer', () => {
    reserve();
    table.remove(id);
    loads.retain(new Set());
    expect(loads.ownRequests(id)).toBe(1);
  });
});
