/**
 * Guards that what placers tell of targets helps instances that have not measured these, counts only while it is fresh, and does not
 * send all instances to the same target.
 */
import seedrandom from 'seedrandom';
import VirtualClock from '@wisteriapath/virtual-clock';
import {
  type DigestRow,
  type PathRoute,
  RouteSemantics,
  type TargetRow,
  TargetSpeeds,
  TargetTable,
} from '@wisteriapath/fleet';
import type AdmittedRequest from '../src/AdmittedRequest';
import type ResponseFields from '../src/ResponseFields';
import TargetPace from '../src/TargetPace';
import TargetRanking from '../src/TargetRanking';
import createTargetLoads from './support/createTargetLoads';
import targetEntry from './support/targetEntry';

const SLOTS = 16;
const USUAL_GAP_MS = 50;
const ROUTE = {
  semantics: RouteSemantics.Stream,
  latencyTargetMs: 600,
  gapTargetMs: 200,
} as PathRoute;

describe('an instance that has not measured a target', () => {
  const start = (random = () => 1) => {
    const clock = new VirtualClock();
    const table = new TargetTable(clock);
    ['one', 'two'].forEach((id) => table.applyEntry(targetEntry({ id })));
    const pace = new TargetPace(clock, table, random);
    pace.recordWorkTime('one', 1);
    const slownessOf = (id: string) => pace.expect(id, 'm').slowness;
    return { clock, table, pace, slownessOf };
  };
  const SLOW: DigestRow = ['two', 167, 4, 250, 1];

  test('goes by what the placer tells', () => {
    const { pace, slownessOf } = start();
    pace.recordShared([SLOW]);
    expect(slownessOf('two')).toBeCloseTo(1.67 * 2.5, 1);
    expect(pace.sharedLoad('two')).toBe(4);
  });

  test('forgets it after 3 s, its load by half in each second', async () => {
    const { clock, pace, slownessOf } = start();
    pace.recordShared([SLOW]);
    await clock.advance(1_000);
    expect(pace.sharedLoad('two')).toBeCloseTo(2);
    expect(slownessOf('two')).toBeGreaterThan(3);
    await clock.advance(2_100);
    expect(pace.sharedLoad('two')).toBe(0);
    expect(slownessOf('two')).toBe(1);
  });

  test('gives it a weight of its own', () => {
    const { pace, slownessOf } = start(() => 0.3);
    pace.recordShared([SLOW]);
    // Bad news counts by three quarters at least, as it does not send all requests to the same target.
    expect(slownessOf('two')).toBeCloseTo((1.67 * 2.5) ** (0.75 + 0.25 * 0.3), 1);
    pace.recordShared([['two', 60, 4, 100, 1]]);
    expect(slownessOf('two')).toBeCloseTo(0.6 ** 0.3);
  });

  test('ignores what was told of an earlier life of the target, or of one that is not registered', () => {
    const { table, pace, slownessOf } = start();
    pace.recordShared([
      ['unknown', 400, 4, 100, 1],
      ['one', 400, 4, 100, 7],
      ['one', 0, 4, 100, 1],
    ]);
    expect([slownessOf('unknown'), slownessOf('one')]).toEqual([1, 1]);
    pace.recordShared([SLOW]);
    table.applyEntry(targetEntry({ id: 'two', bornMs: 2 }));
    expect([slownessOf('two'), pace.sharedLoad('two')]).toEqual([1, 0]);
  });

  test('trusts its own measurements more', async () => {
    const { clock, pace, slownessOf } = start();
    for (let count = 0; count < 30; count += 1) {
      pace.recordWorkTime('one', 1);
      pace.recordGap('one', 'm', USUAL_GAP_MS);
      pace.recordWorkTime('two', 1);
      pace.recordGap('two', 'm', USUAL_GAP_MS);
      await clock.advance(USUAL_GAP_MS);
    }
    pace.recordShared([SLOW]);
    expect(slownessOf('two')).toBeLessThan(1.6);
  });
});

describe('60 instances that hear the same of 8 targets', () => {
  const INSTANCES = 60;
  const IDS = Array.from({ length: 8 }, (_, number) => `engine-${number}`);
  const FREE = IDS[3];

  const start = (seed: string) => {
    const random = seedrandom(seed);
    const clock = new VirtualClock();
    const instances = Array.from({ length: INSTANCES }, () => {
      const table = new TargetTable(clock);
      IDS.forEach((id) => table.applyEntry(targetEntry({ id, slots: SLOTS })));
      const loads = createTargetLoads(clock, table);
      Object.assign(loads, { pace: new TargetPace(clock, table, random) });
      const parts = { clock, table, loads, connectionLimit: () => 1_000, failureDomain: 'a' };
      loads.pace.recordWorkTime(IDS[0], 1);
      return { table, loads, ranking: new TargetRanking(parts, random) };
    });
    const request = () =>
      ({
        pool: { name: 'guides', engine: { models: new Map() }, maxConnections: 9 },
        route: ROUTE,
        fields: { model: 'm', adapter: null, tokens: 300, outputTokens: 100, estimatedTokens: 60 },
        deadlineAtMs: clock.nowMs() + 20_000,
      }) as unknown as AdmittedRequest;
    const choose = ({ ranking }: (typeof instances)[number]) =>
      ranking.rank(request(), new Map())[0].entry.id;
    return { random, clock, instances, choose };
  };

  test.each(['1', '2', '3'])('do not all choose the one that is free, seed %s', (seed) => {
    const { instances, choose } = start(seed);
    const digest = IDS.map((id): DigestRow => [id, 100, id === FREE ? 0 : SLOTS, 100, 1]);
    instances.forEach(({ loads }) => loads.pace.recordShared(digest));
    const chosen = instances.map(choose).filter((id) => id === FREE).length;
    // More than by chance, and fewer than half of all.
    expect(chosen).toBeGreaterThan(INSTANCES / IDS.length);
    expect(chosen).toBeLessThan(INSTANCES / 2);
  });

  test.each(['1', '2', '3'])(
    'do not crowd the fastest one over 12 s with digests, seed %s',
    async (seed) => {
      const { random, clock, instances, choose } = start(seed);
      const STREAM_MS = 1_500;
      const REQUESTS_PER_STEP = 3;
      const STEP_MS = 50;
      const factorOf = (id: string) => (id === FREE ? 1 / 1.6 : 1);
      const speeds = new TargetSpeeds(clock, instances[0].table);
      const running = new Map(IDS.map((id) => [id, 0]));
      let mostRunning = 0;
      let served = 0;
      let servedByFastest = 0;
      const run = async (instance: (typeof instances)[number], id: string) => {
        const reservation = instance.loads.reserve(id, 'm', null);
        running.set(id, running.get(id)! + 1);
        const load = { running: running.get(id)!, waiting: 0, slots: SLOTS, workTimeFactor: 1 };
        reservation.recordResponse({ load } as ResponseFields);
        for (let sample = 0; sample < 6; sample += 1) {
          await clock.sleep((STREAM_MS * factorOf(id)) / 6);
          reservation.recordGap(USUAL_GAP_MS * factorOf(id));
        }
        running.set(id, running.get(id)! - 1);
        reservation.complete(false);
      };
      const runs: Promise<void>[] = [];
      for (let step = 0; step < 240; step += 1) {
        for (let count = 0; count < REQUESTS_PER_STEP; count += 1) {
          const instance = instances[Math.floor(random() * INSTANCES)];
          const id = choose(instance);
          served += 1;
          if (id === FREE) servedByFastest += 1;
          runs.push(run(instance, id));
        }
        if (step % 10 === 0) {
          const rows: readonly TargetRow[] = instances.flatMap(({ loads }) =>
            loads.pace.takeRows(16),
          );
          speeds.record(rows);
          const { digest } = speeds;
          instances.forEach(({ loads }) => loads.pace.recordShared(digest));
        }
        mostRunning = Math.max(mostRunning, running.get(FREE)!);
        await clock.advance(STEP_MS);
      }
      await clock.advance(STREAM_MS * 2);
      await Promise.all(runs);
      expect(servedByFastest / served).toBeGreaterThan(1 / IDS.length);
      // Fewer than half of the streams that run at once, which is some 90.
      const streams = (REQUESTS_PER_STEP * STREAM_MS) / STEP_MS;
      expect(mostRunning).toBeLessThan(streams / 2);
    },
  );
});
