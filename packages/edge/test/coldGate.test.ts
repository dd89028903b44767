/** The limiters of all instances together must not exceed the rate limit of a cold target. */
import seedrandom from 'seedrandom';
import VirtualClock from '@wisteriapath/virtual-clock';
import type { TargetView } from '@wisteriapath/fleet';
import ColdTargetLimiter from '../src/ColdTargetLimiter';
import EdgeMetrics from '../src/EdgeMetrics';
import targetEntry from './support/targetEntry';

const POLL_INTERVAL_MS = 25;
const COLD_MS = 3_000;
const UPTIME_MS = 5_000;
const limits = { retryRatio: 0, retrySlack: 0, coldOverage: 1.5, coldSlack: 5 };

interface Scenario {
  readonly instances: number;
  readonly perS: number;
  readonly seed: number;
  /** Number of instances that a limiter counts, `sinceMs` after its start. */
  readonly countedInstances?: (sinceMs: number) => number;
  /** Uptime of the processes when the target turns cold. */
  readonly uptimeMs?: number;
  /** Interval at which requests ask the limiters; 0 for every poll. */
  readonly askIntervalMs?: number;
}

/** Returns the times at which requests were sent, if each instance has more of them than it may send. */
const simulate = async ({
  instances,
  perS,
  seed,
  ...more
}: Scenario): Promise<readonly number[]> => {
  const { countedInstances = () => instances, uptimeMs = UPTIME_MS, askIntervalMs = 0 } = more;
  const clock = new VirtualClock();
  const random = seedrandom(String(seed));
  const deps = { clock, random, limits, metrics: new EdgeMetrics(), log: { event: () => {} } };
  const limiters = Array.from(
    { length: instances },
    () => new ColdTargetLimiter({ ...deps, instances: () => countedInstances(clock.nowMs()) }),
  );
  await clock.advance(uptimeMs);
  const view = { entry: targetEntry(), coldUntilMs: uptimeMs + COLD_MS } as TargetView;
  const sentMs: number[] = [];
  for (let atMs = 0; atMs < COLD_MS; atMs += POLL_INTERVAL_MS) {
    limiters.forEach((limiter) => {
      if (askIntervalMs > 0 && atMs % askIntervalMs > 0) return;
      while (limiter.tryTake(view, perS, 'one')) sentMs.push(atMs);
    });
    await clock.advance(POLL_INTERVAL_MS);
  }
  return sentMs;
};

const maxInOneSecond = (sentMs: readonly number[]): number =>
  Math.max(
    0,
    ...sentMs.map((from) => sentMs.filter((atMs) => atMs >= from && atMs < from + 1_000).length),
  );

/** The limit that the users set for one second. */
const bound = (perS: number): number => perS * limits.coldOverage + limits.coldSlack;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const SIZES = [1, 3, 6, 7, 9, 20, 67, 76, 300];
const RATES = [12, 13, 16, 28, 31];

describe('the limiters of all instances together', () => {
  test.each(SIZES)(
    'the shares of %i instances do not exceed the limit of a cold target',
    async (instances) => {
      for (const perS of RATES) {
        const runs = await Promise.all(SEEDS.map((seed) => simulate({ instances, perS, seed })));
        expect(Math.max(...runs.map(maxInOneSecond))).toBeLessThanOrEqual(bound(perS));
        const sent = runs.map(({ length }) => length).reduce((sum, count) => sum + count, 0);
        expect(sent / SEEDS.length).toBeGreaterThan((perS * COLD_MS) / 1_000 / 2);
      }
    },
  );

  test.each(SIZES)(
    '%i instances that ask in intervals do not exceed the limit of a cold target',
    async (instances) => {
      const askIntervalMs = 700;
      for (const perS of RATES) {
        const runs = await Promise.all(
          SEEDS.map((seed) => simulate({ instances, perS, seed, askIntervalMs })),
        );
        expect(Math.max(...runs.map(maxInOneSecond))).toBeLessThanOrEqual(bound(perS));
      }
    },
  );

  test('instances that start together and do not know each other yet do not exceed the limit', async () => {
    const countedInstances = (sinceMs: number) => (sinceMs < 500 ? 1 : 6);
    const runs = await Promise.all(
      SEEDS.map((seed) =>
        simulate({ instances: 6, perS: 28, seed, countedInstances, uptimeMs: 0 }),
      ),
    );
    expect(Math.max(...runs.map(maxInOneSecond))).toBeLessThanOrEqual(bound(28));
  });
});
