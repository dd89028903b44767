/** What the gates of many instances let through to one cold target together. */
import seedrandom from 'seedrandom';
import VirtualClock from '@wisteriapath/virtual-clock';
import type { TargetView } from '@wisteriapath/fleet';
import ColdGate from '../src/ColdGate';
import EdgeMetrics from '../src/EdgeMetrics';
import targetEntry from './support/targetEntry';

const LOOK_EVERY_MS = 25;
const COLD_MS = 3_000;
const UP_MS = 5_000;
const limits = { retryRatio: 0, retrySlack: 0, coldOverage: 1.5, coldSlack: 5 };

interface Play {
  readonly instances: number;
  readonly perS: number;
  readonly seed: number;
  /** Instances that a gate reckons with, `sinceMs` after it began. */
  readonly reckoned?: (sinceMs: number) => number;
  /** Time for which the processes have run when the target turns cold. */
  readonly upMs?: number;
  /** Time between the moments at which requests begin to ask the gates. */
  readonly asksEveryMs?: number;
}

/** When requests got through, where each instance has more of them than it may send. */
const play = async ({ instances, perS, seed, ...more }: Play): Promise<readonly number[]> => {
  const { reckoned = () => instances, upMs = UP_MS, asksEveryMs = 0 } = more;
  const clock = new VirtualClock();
  const random = seedrandom(String(seed));
  const parts = { clock, random, limits, metrics: new EdgeMetrics(), log: { event: () => {} } };
  const gates = Array.from(
    { length: instances },
    () => new ColdGate({ ...parts, instances: () => reckoned(clock.nowMs()) }),
  );
  await clock.advance(upMs);
  const view = { entry: targetEntry(), coldUntilMs: upMs + COLD_MS } as TargetView;
  const sentMs: number[] = [];
  for (let atMs = 0; atMs < COLD_MS; atMs += LOOK_EVERY_MS) {
    gates.forEach((gate) => {
      if (asksEveryMs > 0 && atMs % asksEveryMs > 0) return;
      while (gate.take(view, perS, 'one')) sentMs.push(atMs);
    });
    await clock.advance(LOOK_EVERY_MS);
  }
  return sentMs;
};

const mostInASecond = (sentMs: readonly number[]): number =>
  Math.max(
    0,
    ...sentMs.map((from) => sentMs.filter((atMs) => atMs >= from && atMs < from + 1_000).length),
  );

/** The users' bound for one second. */
const bound = (perS: number): number => perS * limits.coldOverage + limits.coldSlack;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const SIZES = [1, 3, 6, 7, 9, 20, 67, 76, 300];
const RATES = [12, 13, 16, 28, 31];

describe('the gates of all instances together', () => {
  test.each(SIZES)(
    'the parts of %i instances do not add up to a flood of a cold target',
    async (instances) => {
      for (const perS of RATES) {
        const plays = await Promise.all(SEEDS.map((seed) => play({ instances, perS, seed })));
        expect(Math.max(...plays.map(mostInASecond))).toBeLessThanOrEqual(bound(perS));
        const sent = plays.map(({ length }) => length).reduce((sum, one) => sum + one, 0);
        expect(sent / SEEDS.length).toBeGreaterThan((perS * COLD_MS) / 1_000 / 2);
      }
    },
  );

  test.each(SIZES)(
    '%i instances that ask again after a pause do not flood a cold target',
    async (instances) => {
      const asksEveryMs = 700;
      for (const perS of RATES) {
        const plays = await Promise.all(
          SEEDS.map((seed) => play({ instances, perS, seed, asksEveryMs })),
        );
        expect(Math.max(...plays.map(mostInASecond))).toBeLessThanOrEqual(bound(perS));
      }
    },
  );

  test('instances that start together and have not heard each other yet do not flood a cold target', async () => {
    const reckoned = (sinceMs: number) => (sinceMs < 500 ? 1 : 6);
    const plays = await Promise.all(
      SEEDS.map((seed) => play({ instances: 6, perS: 28, seed, reckoned, upMs: 0 })),
    );
    expect(Math.max(...plays.map(mostInASecond))).toBeLessThanOrEqual(bound(28));
  });
});
