/** All instances together keep a workspace's rate and burst, and refuse little below it. */
import { type Heartbeat, HeartbeatKind } from '@wisteriapath/fleet';
import WorkspaceLimits from '../src/WorkspaceLimits';
import workspaceLimit from './support/workspaceLimit';

const SPEC = workspaceLimit.spec(10_000);
const BEAT_MS = 200;
const COST = 800;
const INSTANCES = 7;
const BOUND = workspaceLimit.bound(SPEC);

/** Lets every instance hear the beat of every other. */
const exchange = (limits: readonly WorkspaceLimits[], life: number): void => {
  limits.forEach((from, index) => {
    const member = { name: `one-${index}`, incarnation: `${life}`, failureDomain: 'a', host: '' };
    const kind = HeartbeatKind.Own;
    const beat = { member, kind, usage: from.usage(kind) } as unknown as Heartbeat;
    limits.filter((to) => to !== from).forEach((to) => to.absorb(beat));
  });
};

/** Plays instances that get requests by uneven shares, until `endMs`. */
const play = (perS: number, endMs: number, restartAtMs = Infinity) => {
  const time = { nowMs: 20_000 };
  const clock = { nowMs: () => time.nowMs, sleep: () => Promise.resolve() };
  const begin = () =>
    Array.from({ length: INSTANCES }, () => new WorkspaceLimits(clock, () => INSTANCES));
  time.nowMs = 0;
  let limits = begin();
  const admitted: { atMs: number; units: number }[] = [];
  let asked = 0;
  let life = 0;
  const weights = [4, 3, 2, 2, 1, 1, 1];
  const turn = weights.flatMap((weight, index) => Array<number>(weight).fill(index));
  let sent = 0;
  for (time.nowMs = 12_000; time.nowMs < 12_000 + endMs; time.nowMs += 10) {
    const passedMs = time.nowMs - 12_000;
    if (passedMs >= restartAtMs && life === 0) {
      life = 1;
      limits = begin();
    }
    while (sent * COST < (perS * passedMs) / 1_000) {
      const index = turn[(sent * 5) % turn.length];
      sent += 1;
      asked += COST;
      if (limits[index].admit(SPEC, COST) === 0) admitted.push({ atMs: passedMs, units: COST });
    }
    if (time.nowMs % BEAT_MS === 0) {
      exchange(limits, life);
    }
  }
  const total = admitted.reduce((sum, { units }) => sum + units, 0);
  const most = workspaceLimit.mostInWindow(admitted);
  return { asked, total, most };
};

describe('the limits of a workspace', () => {
  test('hold over all instances under a flood', () => {
    expect(play(60_000, 16_000).most).toBeLessThanOrEqual(BOUND);
  });

  test('hold when all instances are killed in the middle of a flood', () => {
    expect(play(60_000, 16_000, 4_000).most).toBeLessThanOrEqual(BOUND);
  });

  test('refuse less than one in a thousand at nine tenths of the rate', () => {
    const { asked, total } = play(9_000, 30_000);
    expect(total / asked).toBeGreaterThan(0.999);
  });

  test('leave at least nine tenths of the rate to a workspace that floods', () => {
    expect(play(60_000, 20_000).total).toBeGreaterThan(0.9 * SPEC.ratePerS * 20);
  });
});
