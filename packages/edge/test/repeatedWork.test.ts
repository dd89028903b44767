/** Work that is repeated goes on after an error in one round: otherwise the process would live on without it. */
import VirtualClock from '@wisteriapath/virtual-clock';
import type { QuarantineRecord, FleetRecords, MemberStore } from '@wisteriapath/fleet';
import QuarantineKeeper from '../src/QuarantineKeeper';
import DemandReporter from '../src/DemandReporter';
import type ModelRates from '../src/ModelRates';
import type TargetLoads from '../src/TargetLoads';
import announceAndListMembers from '../src/announceAndListMembers';

const ERROR = new Error('made to fail');
const LONG_MS = 10_000;
const NO_RECORDS: FleetRecords = { members: [], quarantines: [] };
const SELF = { name: 'one', incarnation: '1', failureDomain: 'a', host: '10.1.0.25', cores: 1 };

/** Returns a function that fails at its first call. */
const failingOnce = <T>(result: T) => {
  let calls = 0;
  return () => {
    calls += 1;
    return calls === 1 ? Promise.reject(ERROR) : Promise.resolve(result);
  };
};

const storeOf = (more: Partial<MemberStore>): MemberStore => ({
  announce: () => Promise.resolve(true),
  saveQuarantine: () => Promise.resolve(true),
  list: () => Promise.resolve(NO_RECORDS),
  ...more,
});

const createLog = () => {
  const lines: string[] = [];
  return {
    lines,
    event: (name: string, fields: object) => lines.push(JSON.stringify([name, fields])),
  };
};

describe('after an error', () => {
  afterEach(() => jest.useRealTimers());

  test('the demand is still reported', () => {
    jest.useFakeTimers();
    let reports = 0;
    const reporter = new DemandReporter({
      clock: { nowMs: () => Date.now(), sleep: () => Promise.resolve() },
      instance: '10.1.0.25',
      rates: { all: [], deferrable: [] } as unknown as ModelRates,
      loads: {
        running: [],
        findUnreachable: () => [],
        pace: { takeRows: () => [] },
      } as unknown as TargetLoads,
      instances: () => 1,
      send: () => {
        reports += 1;
        if (reports === 1) throw ERROR;
      },
    });
    reporter.start();
    expect(() => jest.advanceTimersByTime(LONG_MS)).toThrow(ERROR);
    jest.advanceTimersByTime(LONG_MS);
    reporter.stop();
    expect(reports).toBeGreaterThan(2);
  });

  test('quarantines are still kept', async () => {
    const clock = new VirtualClock();
    const log = createLog();
    const kept: string[] = [];
    const save = failingOnce(true);
    const saveQuarantine = async ({ trait }: QuarantineRecord) => {
      const isKept = await save();
      kept.push(trait);
      return isKept;
    };
    const keeper = new QuarantineKeeper({
      clock,
      wallClock: () => 0,
      log,
      isWriter: () => true,
      store: storeOf({ saveQuarantine }),
    });
    keeper.save('part:a1', []);
    await clock.advance(LONG_MS);
    keeper.save('part:a2', []);
    await clock.advance(LONG_MS);
    expect(kept).toEqual(['part:a2']);
    expect(log.lines[0]).toContain('["quarantine_not_kept",{"trait":"part:a1"');
  });

  test.each(['announce', 'list'] as const)('of its %s an instance is announced', async (call) => {
    const clock = new VirtualClock();
    const log = createLog();
    const results = { announce: true, list: NO_RECORDS };
    const store = storeOf({ [call]: failingOnce(results[call]) });
    const learned = announceAndListMembers(store, { clock, log }, SELF, () => false);
    await Promise.all([clock.advance(LONG_MS), expect(learned).resolves.toBe(NO_RECORDS)]);
    expect(log.lines[0]).toContain('members_failed');
  });
});
