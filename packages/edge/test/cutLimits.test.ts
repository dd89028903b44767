/** While failure domains are cut off from each other, both sides of the cut together keep to a workspace's limits. */
import { type Heartbeat, HeartbeatKind } from '@wisteriapath/fleet';
import WorkspaceLimits from '../src/WorkspaceLimits';
import workspaceLimit from './support/workspaceLimit';

const HEARTBEAT_INTERVAL_MS = 200;
const STEP_MS = 10;
const START_MS = 12_000;
const INSTANCES = 7;
const UNITS = 800;
const SPEC = workspaceLimit.spec(54_000);
const BOUND = workspaceLimit.bound(SPEC);

interface Load {
  /** Units a second that are requested before the time in `risesAtMs`, and from then on. */
  readonly calmPerS: number;
  readonly busyPerS: number;
  readonly risesAtMs: number;
  readonly cutFromMs: number;
  readonly cutToMs: number;
  /** Number of instances on one side of the cut. */
  readonly cutInstances: number;
  readonly durationMs: number;
}

const heartbeatOf = (index: number, limits: WorkspaceLimits): Heartbeat => {
  const member = { name: `one-${index}`, incarnation: '1', failureDomain: 'a', host: '' };
  const kind = HeartbeatKind.Own;
  const usage = limits.usage(kind);
  limits.recordReport(usage);
  return { member, kind, usage } as unknown as Heartbeat;
};

/** Returns what was admitted and how much was asked for, with times from the start of the load. */
const simulate = (load: Load) => {
  const time = { nowMs: 0 };
  const clock = { nowMs: () => time.nowMs, sleep: () => Promise.resolve() };
  const limits = Array.from(
    { length: INSTANCES },
    () => new WorkspaceLimits(clock, () => INSTANCES),
  );
  const isCutOff = (index: number) => index < load.cutInstances;
  const admitted: { atMs: number; units: number }[] = [];
  let asked = 0;
  let due = 0;
  for (time.nowMs = START_MS; time.nowMs < START_MS + load.durationMs; time.nowMs += STEP_MS) {
    const atMs = time.nowMs - START_MS;
    const isCut = atMs >= load.cutFromMs && atMs < load.cutToMs;
    due += ((atMs < load.risesAtMs ? load.calmPerS : load.busyPerS) * STEP_MS) / 1_000;
    for (; due >= UNITS; due -= UNITS) {
      asked += 1;
      if (limits[(asked * 5) % INSTANCES].admit(SPEC, UNITS) === 0) {
        admitted.push({ atMs, units: UNITS });
      }
    }
    if (time.nowMs % HEARTBEAT_INTERVAL_MS === 0) {
      limits.forEach((from, index) => {
        const heartbeat = heartbeatOf(index, from);
        limits
          .filter((to, other) => to !== from && !(isCut && isCutOff(index) !== isCutOff(other)))
          .forEach((to) => to.applyHeartbeat(heartbeat));
      });
    }
  }
  const total = admitted.reduce((sum, { units }) => sum + units, 0);
  return { total, askedUnits: asked * UNITS, maxInWindow: workspaceLimit.maxInWindow(admitted) };
};

const CUT = { cutFromMs: 8_000, cutToMs: 14_000, durationMs: 24_000 };
const OVERLOAD = { calmPerS: 30_000, busyPerS: 400_000 };

describe('the limits of a workspace while failure domains are cut off from each other', () => {
  test.each([1, 2, 3])(
    'hold when demand rises just before %d of the instances are cut off',
    (cutInstances) => {
      const load = { ...OVERLOAD, ...CUT, risesAtMs: 7_500, cutInstances };
      expect(simulate(load).maxInWindow).toBeLessThanOrEqual(BOUND);
    },
  );

  test('hold when demand rises during the cut', () => {
    const load = { ...OVERLOAD, ...CUT, risesAtMs: 10_000, cutInstances: 3 };
    expect(simulate(load).maxInWindow).toBeLessThanOrEqual(BOUND);
  });

  test('refuse less than 1 % of a workspace that keeps to 60 % of its rate', () => {
    const perS = SPEC.ratePerS * 0.6;
    const load = { calmPerS: perS, busyPerS: perS, risesAtMs: 0, ...CUT, cutInstances: 3 };
    const { total, askedUnits } = simulate(load);
    expect(total / askedUnits).toBeGreaterThan(0.99);
  });

  test.each([
    { what: 'silent and back', isStopping: false, returns: true },
    { what: 'silent for long', isStopping: false, returns: false },
    { what: 'gone after a planned stop', isStopping: true, returns: false },
  ])('leave a workspace that was idle its burst once its peers are $what', (given) => {
    const time = { nowMs: START_MS };
    const clock = { nowMs: () => time.nowMs, sleep: () => Promise.resolve() };
    const [own, ...peers] = Array.from({ length: 3 }, () => new WorkspaceLimits(clock, () => 3));
    const report = () =>
      peers.forEach((peer, index) => {
        const heartbeat = { ...heartbeatOf(index, peer), isStopping: given.isStopping };
        own.applyHeartbeat(heartbeat);
      });
    [own, ...peers].forEach((limits) => limits.admit(SPEC, UNITS));
    report();
    time.nowMs += 11_000;
    if (given.returns) report();
    let admitted = 0;
    while (admitted < SPEC.burst * 0.4 && own.admit(SPEC, UNITS) === 0) admitted += UNITS;
    expect(admitted).toBeGreaterThanOrEqual(SPEC.burst * 0.4);
  });
});
