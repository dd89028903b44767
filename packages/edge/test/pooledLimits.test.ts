/** Many instances keep a workspace's limits together through those that gather what the others report. */
import { type Heartbeat, HeartbeatKind, type WorkspaceSpec } from '@wisteriapath/fleet';
import WorkspaceLimits from '../src/WorkspaceLimits';
import workspaceLimit from './support/workspaceLimit';

const SPEC = workspaceLimit.spec(40_000);
const INSTANCES = 60;
const DOMAINS = 3;
const BEAT_MS = 200;
const COST = 800;
const FROM_MS = 12_000;
const BOUND = workspaceLimit.bound(SPEC);

interface Plan {
  readonly perS: number;
  readonly durationMs: number;
  /** When the first hub of a failure domain ends and the next instance of it takes over. */
  readonly hubEndsAtMs?: number;
  /** How many instances are asked. */
  readonly asked: number;
  readonly spec?: WorkspaceSpec;
  readonly costUnits?: number;
}

const memberOf = (index: number) => {
  const failureDomain = `domain-${index % DOMAINS}`;
  return { name: `one-${index}`, incarnation: '1', failureDomain, host: '', cores: 1 };
};

const beatOf = (index: number, kind: HeartbeatKind, usage: Heartbeat['usage']) =>
  ({ member: memberOf(index), kind, usage }) as unknown as Heartbeat;

/** One round of beats; `hubs` are the instances that gather, by failure domain. */
const exchange = (limits: readonly WorkspaceLimits[], hubs: readonly number[]): void => {
  limits.forEach((one, index) => {
    const hub = hubs[index % DOMAINS];
    if (hub === index || hub === undefined) return;
    const usage = one.usage(HeartbeatKind.Own);
    one.noteTold(usage);
    limits[hub].absorb(beatOf(index, HeartbeatKind.Own, usage));
  });
  hubs.forEach((hub) => {
    const beat = beatOf(hub, HeartbeatKind.Pooled, limits[hub].usage(HeartbeatKind.Pooled));
    limits.forEach((one, index) => {
      if (index !== hub) one.absorb(beat, hubs[index % DOMAINS] === hub && !hubs.includes(index));
    });
  });
};

const play = ({
  perS,
  durationMs,
  asked,
  hubEndsAtMs = Infinity,
  spec = SPEC,
  costUnits = COST,
}: Plan) => {
  const time = { nowMs: 0 };
  const clock = { nowMs: () => time.nowMs, sleep: () => Promise.resolve() };
  const limits = Array.from(
    { length: INSTANCES },
    () => new WorkspaceLimits(clock, () => INSTANCES),
  );
  const admitted: { atMs: number; units: number }[] = [];
  let sent = 0;
  for (time.nowMs = FROM_MS; time.nowMs < FROM_MS + durationMs; time.nowMs += 10) {
    const passedMs = time.nowMs - FROM_MS;
    while (sent * costUnits < (perS * passedMs) / 1_000) {
      const index = (sent * 7) % asked;
      sent += 1;
      if (limits[index].admit(spec, costUnits) === 0) {
        admitted.push({ atMs: passedMs, units: costUnits });
      }
    }
    const hubs = [passedMs < hubEndsAtMs ? 0 : DOMAINS, 1, 2];
    if (time.nowMs % BEAT_MS === 0) exchange(limits, hubs);
  }
  const total = admitted.reduce((sum, { units }) => sum + units, 0);
  return { share: total / (sent * costUnits), total, most: workspaceLimit.mostInWindow(admitted) };
};

describe('limits that many instances keep through a few', () => {
  test('hold under a flood through all instances', () => {
    const plan = { perS: 5 * SPEC.ratePerS, durationMs: 16_000, asked: INSTANCES };
    expect(play(plan).most).toBeLessThanOrEqual(BOUND);
  });

  test('hold when an instance that gathers ends in the middle of a flood', () => {
    const flood = { perS: 5 * SPEC.ratePerS, durationMs: 16_000, asked: INSTANCES };
    expect(play({ ...flood, hubEndsAtMs: 4_000 }).most).toBeLessThanOrEqual(BOUND);
  });

  test("hold where one request is much of an instance's share", () => {
    const large = workspaceLimit.spec(34_000);
    const bound = workspaceLimit.bound(large);
    const plan = { spec: large, costUnits: 3_000, perS: 6 * large.ratePerS, durationMs: 16_000 };
    expect(play({ ...plan, asked: INSTANCES }).most).toBeLessThanOrEqual(bound);
  });

  test('refuse nobody who asks for little, on any instance', () => {
    const small = workspaceLimit.spec(14_000);
    const plan = { spec: small, costUnits: 1_700, perS: 12_600, durationMs: 20_000 };
    expect(play({ ...plan, asked: INSTANCES }).share).toBeGreaterThan(0.999);
  });

  test('refuse less than one in a thousand at nine tenths of the rate', () => {
    const plan = { perS: 0.9 * SPEC.ratePerS, durationMs: 20_000, asked: INSTANCES };
    expect(play(plan).share).toBeGreaterThan(0.999);
  });

  test('leave at least nine tenths of the rate to a workspace that floods through few', () => {
    const plan = { perS: 3 * SPEC.ratePerS, durationMs: 20_000, asked: 10 };
    expect(play(plan).total).toBeGreaterThan(0.9 * SPEC.ratePerS * 20);
  });
});
