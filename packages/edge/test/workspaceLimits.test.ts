/** All instances together enforce a workspace's rate and burst, and refuse almost nothing below it. */
import { type Heartbeat, HeartbeatKind } from '@wisteriapath/fleet';
import WorkspaceLimits from '../src/WorkspaceLimits';
import workspaceLimit from './support/workspaceLimit';

const SPEC = workspaceLimit.spec(10_000);
const HEARTBEAT_INTERVAL_MS = 200;
/** Units of one request. */
const UNITS = 800;
const INSTANCES = 7;
const BOUND = workspaceLimit.bound(SPEC);

/** Delivers the heartbeat of every instance to every other one. */
const exchange = (limits: readonly WorkspaceLimits[], incarnation: number): void => {
  limits.forEach((from, index) => {
    const member = {
      name: `one-${index}`,
      incarnation: `${incarnation}`,
      failureDomain: 'a',
      host: '',
    };
    const kind = HeartbeatKind.Own;
    const heartbeat = { member, kind, usage: from.usage(kind) } as unknown as Heartbeat;
    limits.filter((to) => to !== from).forEach((to) => to.applyHeartbeat(heartbeat));
  });
};

/** Simulates instances that receive uneven shares of the requests, for `durationMs`. */
const simulate = (perS: number, durationMs: number, restartAtMs = Infinity) => {
  const time = { nowMs: 20_000 };
  const clock = { nowMs: () => time.nowMs, sleep: () => Promise.resolve() };
  const startInstances = () =>
    Array.from({ length: INSTANCES }, () => new WorkspaceLimits(clock, () => INSTANCES));
  time.nowMs = 0;
  let limits = startInstances();
  const admitted: { atMs: number; units: number }[] = [];
  let requestedUnits = 0;
  let incarnation = 0;
  const weights = [4, 3, 2, 2, 1, 1, 1];
  const schedule = weights.flatMap((weight, index) => Array<number>(weight).fill(index));
  let sent = 0;
  for (time.nowMs = 12_000; time.nowMs < 12_000 + durationMs; time.nowMs += 10) {
    const elapsedMs = time.nowMs - 12_000;
    if (elapsedMs >= restartAtMs && incarnation === 0) {
      incarnation = 1;
      limits = startInstances();
    }
    while (sent * UNITS < (perS * elapsedMs) / 1_000) {
      const index = schedule[(sent * 5) % schedule.length];
      sent += 1;
      requestedUnits += UNITS;
      if (limits[index].admit(SPEC, UNITS) === 0) admitted.push({ atMs: elapsedMs, units: UNITS });
    }
    if (time.nowMs % HEARTBEAT_INTERVAL_MS === 0) {
      exchange(limits, incarnation);
    }
  }
  const total = admitted.reduce((sum, { units }) => sum + units, 0);
  const maxInWindow = workspaceLimit.maxInWindow(admitted);
  return { requestedUnits, total, maxInWindow };
};

describe('the limits of a workspace', () => {
  test('hold over all instances under an overload', () => {
    expect(simulate(60_000, 16_000).maxInWindow).toBeLessThanOrEqual(BOUND);
  });

  test('hold when all instances are killed and restarted during an overload', () => {
    expect(simulate(60_000, 16_000, 4_000).maxInWindow).toBeLessThanOrEqual(BOUND);
  });

  test('refuse less than 0.1 % at 90 % of the rate', () => {
    const { requestedUnits, total } = simulate(9_000, 30_000);
    expect(total / requestedUnits).toBeGreaterThan(0.999);
  });

  test('admit at least 90 % of the rate to a workspace that exceeds it', () => {
    expect(simulate(60_000, 20_000).total).toBeGreaterThan(0.9 * SPEC.ratePerS * 20);
  });
});
