/** Many instances enforce a workspace's limits together, through a few that aggregate the reports of the others. */
import { type Heartbeat, HeartbeatKind, type WorkspaceSpec } from '@wisteriapath/fleet';
import WorkspaceLimits from '../src/WorkspaceLimits';
import workspaceLimit from './support/workspaceLimit';

const SPEC = workspaceLimit.spec(40_000);
const INSTANCES = 60;
const DOMAINS = 3;
const HEARTBEAT_INTERVAL_MS = 200;
const UNITS_PER_REQUEST = 800;
const START_MS = 12_000;
const BOUND = workspaceLimit.bound(SPEC);

interface Load {
  /** Units a second that are requested in total. */
  readonly perS: number;
  readonly durationMs: number;
  /** Time at which the hub of the first failure domain stops and its next instance takes over. */
  readonly hubStopsAtMs?: number;
  /** Number of instances that receive requests. */
  readonly askedInstances: number;
  readonly spec?: WorkspaceSpec;
  readonly unitsPerRequest?: number;
}

const memberOf = (index: number) => {
  const failureDomain = `domain-${index % DOMAINS}`;
  return { name: `one-${index}`, incarnation: '1', failureDomain, host: '', cores: 1 };
};

const heartbeatOf = (index: number, kind: HeartbeatKind, usage: Heartbeat['usage']) =>
  ({ member: memberOf(index), kind, usage }) as unknown as Heartbeat;

/** Runs one round of heartbeats; `hubs` are the instances that aggregate reports, by failure domain. */
const exchange = (limits: readonly WorkspaceLimits[], hubs: readonly number[]): void => {
  limits.forEach((one, index) => {
    const hub = hubs[index % DOMAINS];
    if (hub === index || hub === undefined) return;
    const usage = one.usage(HeartbeatKind.Own);
    one.recordReport(usage);
    limits[hub].applyHeartbeat(heartbeatOf(index, HeartbeatKind.Own, usage));
  });
  hubs.forEach((hub) => {
    const heartbeat = heartbeatOf(
      hub,
      HeartbeatKind.Pooled,
      limits[hub].usage(HeartbeatKind.Pooled),
    );
    limits.forEach((one, i) => {
      if (i !== hub) one.applyHeartbeat(heartbeat, hubs[i % DOMAINS] === hub && !hubs.includes(i));
    });
  });
};

const simulate = ({
  perS,
  durationMs,
  askedInstances,
  hubStopsAtMs = Infinity,
  spec = SPEC,
  unitsPerRequest = UNITS_PER_REQUEST,
}: Load) => {
  const time = { nowMs: 0 };
  const clock = { nowMs: () => time.nowMs, sleep: () => Promise.resolve() };
  const limits = Array.from(
    { length: INSTANCES },
    () => new WorkspaceLimits(clock, () => INSTANCES),
  );
  const admitted: { atMs: number; units: number }[] = [];
  let sent = 0;
  for (time.nowMs = START_MS; time.nowMs < START_MS + durationMs; time.nowMs += 10) {
    const elapsedMs = time.nowMs - START_MS;
    while (sent * unitsPerRequest < (perS * elapsedMs) / 1_000) {
      const index = (sent * 7) % askedInstances;
      sent += 1;
      if (limits[index].admit(spec, unitsPerRequest) === 0) {
        admitted.push({ atMs: elapsedMs, units: unitsPerRequest });
      }
    }
    const hubs = [elapsedMs < hubStopsAtMs ? 0 : DOMAINS, 1, 2];
    if (time.nowMs % HEARTBEAT_INTERVAL_MS === 0) exchange(limits, hubs);
  }
  const total = admitted.reduce((sum, { units }) => sum + units, 0);
  return {
    share: total / (sent * unitsPerRequest),
    total,
    maxInWindow: workspaceLimit.maxInWindow(admitted),
  };
};

describe('limits that many instances enforce through a few aggregating ones', () => {
  test('hold under an overload through all instances', () => {
    const load = { perS: 5 * SPEC.ratePerS, durationMs: 16_000, askedInstances: INSTANCES };
    expect(simulate(load).maxInWindow).toBeLessThanOrEqual(BOUND);
  });

  test('hold when an aggregating instance stops during an overload', () => {
    const load = { perS: 5 * SPEC.ratePerS, durationMs: 16_000, askedInstances: INSTANCES };
    expect(simulate({ ...load, hubStopsAtMs: 4_000 }).maxInWindow).toBeLessThanOrEqual(BOUND);
  });

  test("hold if one request is a large part of an instance's share", () => {
    const large = workspaceLimit.spec(34_000);
    const bound = workspaceLimit.bound(large);
    const load = {
      spec: large,
      unitsPerRequest: 3_000,
      perS: 6 * large.ratePerS,
      durationMs: 16_000,
    };
    expect(simulate({ ...load, askedInstances: INSTANCES }).maxInWindow).toBeLessThanOrEqual(bound);
  });

  test('refuse less than 0.1 % of large requests at 90 % of the rate', () => {
    const small = workspaceLimit.spec(14_000);
    const load = { spec: small, unitsPerRequest: 1_700, perS: 12_600, durationMs: 20_000 };
    expect(simulate({ ...load, askedInstances: INSTANCES }).share).toBeGreaterThan(0.999);
  });

  test('refuse less than 0.1 % at 90 % of the rate', () => {
    const load = { perS: 0.9 * SPEC.ratePerS, durationMs: 20_000, askedInstances: INSTANCES };
    expect(simulate(load).share).toBeGreaterThan(0.999);
  });

  test('admit at least 90 % of the rate to a workspace that overloads a few instances', () => {
    const load = { perS: 3 * SPEC.ratePerS, durationMs: 20_000, askedInstances: 10 };
    expect(simulate(load).total).toBeGreaterThan(0.9 * SPEC.ratePerS * 20);
  });
});
