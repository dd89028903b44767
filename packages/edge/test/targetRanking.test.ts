/**
 * Guards that a target is chosen by expected time where targets report how long work takes, as on a deployment whose
 * engines have 0.6 to 1.6 times the usual speed and on 15% of whose machines work takes 2.5 times as long: there, streams
 * were late because slow engines broke the gap target though faster ones held the same model.
 */
import VirtualClock from '@wisteriapath/virtual-clock';
import {
  type PathRoute,
  type RegisteredTarget,
  RouteSemantics,
  TargetTable,
} from '@wisteriapath/fleet';
import type AdmittedRequest from '../src/AdmittedRequest';
import type ResponseFields from '../src/ResponseFields';
import TargetRanking from '../src/TargetRanking';
import createTargetLoads from './support/createTargetLoads';
import targetEntry from './support/targetEntry';

const USUAL_GAP_MS = 52;
const UNITS = 456;
const SLOTS = 16;

interface Speed {
  readonly speed?: number;
  readonly workTime?: number;
}

const STREAM = {
  semantics: RouteSemantics.Stream,
  latencyTargetMs: 600,
  gapTargetMs: 200,
} as PathRoute;
const SERVICE = {
  semantics: RouteSemantics.Idempotent,
  latencyTargetMs: 124,
  gapTargetMs: 0,
} as PathRoute;

const start = (targets: Readonly<Record<string, Partial<RegisteredTarget>>>) => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  Object.entries(targets).forEach(([id, more]) =>
    table.applyEntry(targetEntry({ id, slots: SLOTS, ...more })),
  );
  const loads = createTargetLoads(clock, table);
  const ranking = new TargetRanking({
    clock,
    table,
    loads,
    connectionLimit: () => 1_000,
    failureDomain: 'a',
  });
  const respond = (id: string, workTimeFactor: number | null, running = 0, waiting = 0) => {
    const reservation = loads.reserve(id, 'm', null);
    const load = { running: running + 1, waiting, slots: SLOTS, workTimeFactor };
    reservation.recordResponse({ load } as ResponseFields);
    return reservation;
  };
  /** Lets streams measure a target. */
  const measure = async (id: string, { speed = 1, workTime = 1 }: Speed = {}) => {
    for (let stream = 0; stream < 6; stream += 1) {
      const reservation = respond(id, workTime);
      const factor = workTime / speed;
      for (let sample = 0; sample < 4; sample += 1) {
        await clock.advance(USUAL_GAP_MS * factor * 4);
        reservation.recordGap(USUAL_GAP_MS * factor);
      }
      reservation.recordFirstEvent(90 * factor, UNITS);
      reservation.complete(false);
    }
  };
  const request = (route: PathRoute, isEngine = true): AdmittedRequest =>
    ({
      pool: { name: 'guides', engine: isEngine ? { models: new Map() } : null, maxConnections: 9 },
      route,
      fields: { model: 'm', adapter: null, tokens: 300, outputTokens: 100, estimatedTokens: 60 },
      deadlineAtMs: clock.nowMs() + 20_000,
    }) as unknown as AdmittedRequest;
  const choose = (route = STREAM, isEngine = true) =>
    ranking.rank(request(route, isEngine), new Map())[0].entry.id;
  const chooseOften = (route = STREAM, isEngine = true) => {
    const counts = new Map<string, number>();
    for (let count = 0; count < 400; count += 1) {
      const id = choose(route, isEngine);
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    return counts;
  };
  return { clock, loads, respond, measure, choose, chooseOften };
};

describe('engines of which one breaks the gap target', () => {
  const SLOW = { speed: 0.6, workTime: 2.5 };

  test('the fast enough one is chosen though it is busier and in another failure domain', async () => {
    const { respond, measure, chooseOften } = start({ slow: {}, fast: { failureDomain: 'b' } });
    await measure('slow', SLOW);
    await measure('fast', { speed: 1.6 });
    respond('slow', 2.5, 0);
    respond('fast', 1, 9);
    expect(chooseOften()).toEqual(new Map([['fast', 400]]));
  });

  test('the slow one is chosen once the others have long queues', async () => {
    const { respond, measure, choose } = start({ slow: {}, fast: {} });
    await measure('slow', SLOW);
    await measure('fast');
    respond('slow', 2.5, 0);
    respond('fast', 1, SLOTS, SLOTS * 3);
    expect(choose()).toBe('slow');
  });

  test('the least slow one is chosen if all break it', async () => {
    const { measure, chooseOften } = start({ slow: {}, slower: {} });
    await measure('slow', { speed: 0.5, workTime: 2.5 });
    await measure('slower', { speed: 0.3, workTime: 2.5 });
    expect(chooseOften().get('slow')).toBe(400);
  });

  test('one that reports slow work is avoided before it is measured', async () => {
    const { measure, respond, choose } = start({ one: {}, two: {}, unmeasured: {} });
    await measure('one', { speed: 0.7 });
    await measure('two', { speed: 0.7 });
    respond('unmeasured', 2.5).complete(false);
    expect(choose()).not.toBe('unmeasured');
  });

  test('a route without a gap target takes the faster one too', async () => {
    const { measure, choose } = start({ slow: {}, fast: {} });
    await measure('slow', SLOW);
    await measure('fast');
    expect(choose({ ...STREAM, gapTargetMs: 0 })).toBe('fast');
  });
});

test('requests are spread over equally fast engines', async () => {
  const { measure, chooseOften } = start({ one: {}, two: {}, three: {} });
  await measure('one');
  await measure('two');
  await measure('three');
  const counts = [...chooseOften().values()];
  expect(counts).toHaveLength(3);
  expect(Math.min(...counts)).toBeGreaterThan(40);
});

test('the less utilized of equally fast engines is preferred', async () => {
  const { measure, respond, choose } = start({ one: {}, two: {} });
  await measure('one');
  await measure('two');
  respond('one', 1, 4);
  expect(choose()).toBe('two');
});

describe('services without models', () => {
  const measureResponses = async (
    { clock, respond }: Pick<ReturnType<typeof start>, 'clock' | 'respond'>,
    id: string,
    workTime: number,
  ) => {
    for (let count = 0; count < 8; count += 1) {
      const reservation = respond(id, workTime);
      await clock.advance(21 * workTime);
      reservation.recordResponseTime(21 * workTime, 256);
      reservation.complete(false);
    }
  };

  test('the one whose work takes 2.5 times as long is passed over while others are free', async () => {
    const started = start({ one: {}, two: {}, slow: {} });
    await measureResponses(started, 'one', 1);
    await measureResponses(started, 'slow', 2.5);
    await measureResponses(started, 'two', 1);
    const counts = started.chooseOften(SERVICE, false);
    expect(counts.get('slow')).toBeUndefined();
    expect(counts.size).toBe(2);
  });

  test('the slow one is used once the others have queues that cost more', async () => {
    const started = start({ one: {}, slow: {} });
    await measureResponses(started, 'one', 1);
    await measureResponses(started, 'slow', 2.5);
    started.respond('one', 1, SLOTS, SLOTS * 3);
    expect(started.choose(SERVICE, false)).toBe('slow');
  });
});

describe('a pool whose targets do not report how long work takes', () => {
  test('takes the target with the fewest requests for its slots, in its own failure domain if about equal', async () => {
    const { respond, chooseOften } = start({ near: {}, far: { failureDomain: 'b' }, busy: {} });
    respond('near', null);
    respond('busy', null, 9);
    expect(chooseOften()).toEqual(new Map([['near', 400]]));
  });

  test('is not affected by measured times', async () => {
    const { loads, respond, choose } = start({ one: {}, two: {} });
    respond('one', null, 3);
    for (let count = 0; count < 20; count += 1) {
      loads.pace.recordGap('one', 'm', 20);
      loads.pace.recordGap('two', 'm', 900);
    }
    expect(choose()).toBe('two');
  });
});
