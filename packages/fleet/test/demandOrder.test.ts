/** Guards that placers learn how urgent waiting requests are, from instances of this build and of earlier ones. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { type Demand, DemandAggregator, type DemandReport, WaitingRequests } from '../src';
import readDemandReport from '../src/readDemandReport';

const LOAD_MS = 800;
const KEY = { pool: 'guides', model: 'm', adapter: null };

const orderOf = (priority: number, leavesAtMs: number) => ({
  priority,
  leavesAtMs,
  loadMs: () => LOAD_MS,
});
const URGENT = { latencyTargetMs: 500, deadlineAtMs: 17_000, order: orderOf(0, 2_000) };
const DRAFT = { latencyTargetMs: 5_000, deadlineAtMs: 17_000, order: orderOf(2, 17_000) };

const demandOf = (more: Partial<Demand>): Demand => ({
  ...KEY,
  waiting: 1,
  waitedMs: 0,
  latencyTargetMs: 500,
  leftMs: 17_000,
  ...more,
});

const report = (instance: string, more: Partial<DemandReport>): DemandReport => ({
  instance,
  waiting: [],
  rates: [],
  running: [],
  unreachable: [],
  ...more,
});

describe('the demand of an instance', () => {
  const start = () => {
    const clock = new VirtualClock();
    return { clock, waiting: new WaitingRequests(clock, () => {}) };
  };

  test('has the priority and the slack of its most urgent request', () => {
    const { waiting } = start();
    waiting.add(KEY, DRAFT);
    expect(waiting.demands[0]).toMatchObject({ priority: 2, slackMs: 4_200 });
    waiting.add(KEY, URGENT);
    expect(waiting.demands[0]).toMatchObject({ priority: 0, slackMs: 1_200 });
  });

  test('does not count the urgency of a request that cannot be served any more', () => {
    const { clock, waiting } = start();
    waiting.add(KEY, URGENT);
    clock.skip(1_500);
    waiting.add(KEY, DRAFT);
    expect(waiting.demands[0]).toMatchObject({ priority: 2, slackMs: 4_200 });
  });

  test('has neither field in a pool that is not deferring, so that its report is as before', () => {
    const { waiting } = start();
    waiting.add(KEY, { latencyTargetMs: 500, deadlineAtMs: 2_000 });
    const keys = ['pool', 'model', 'adapter', 'waiting', 'waitedMs', 'latencyTargetMs', 'leftMs'];
    expect(Object.keys(waiting.demands[0])).toEqual(keys);
  });
});

describe('the demand of all instances', () => {
  test('has the highest priority and the least slack, less the age of the reports', () => {
    const clock = new VirtualClock();
    const aggregator = new DemandAggregator(clock);
    aggregator.record(report('one', { waiting: [demandOf({ priority: 2, slackMs: 4_200 })] }));
    clock.skip(100);
    aggregator.record(report('two', { waiting: [demandOf({ priority: 1, slackMs: -50 })] }));
    clock.skip(100);
    const [demand] = aggregator.snapshot('guides').waiting;
    expect(demand).toMatchObject({ waiting: 2, priority: 1, slackMs: 4_000 });
  });

  test('has no order if an instance of an earlier build waits as well', () => {
    const aggregator = new DemandAggregator(new VirtualClock());
    aggregator.record(report('one', { waiting: [demandOf({ priority: 2, slackMs: 4_200 })] }));
    aggregator.record(report('two', { waiting: [demandOf({})] }));
    const [demand] = aggregator.snapshot('guides').waiting;
    expect(demand.slackMs).toBeUndefined();
  });

  test('says which part of the rates is due to requests that can wait', () => {
    const aggregator = new DemandAggregator(new VirtualClock());
    const rates = [['guides', 'm', '', 3] as const];
    aggregator.record(report('one', { rates, deferrableRates: [['guides', 'm', '', 1]] }));
    aggregator.record(report('two', { rates }));
    const { modelRates, deferrableRates } = aggregator.snapshot('guides');
    expect([modelRates.get('m'), deferrableRates.get('m')]).toEqual([6, 1]);
  });
});

describe('a received report', () => {
  test.each([
    ['a priority that is no number', { waiting: [{ ...demandOf({}), priority: 'high' }] }],
    ['a slack that is not a number', { waiting: [{ ...demandOf({}), slackMs: NaN }] }],
    ['rates that are no list', { deferrableRates: 3 }],
  ])('with %s is refused', (_, more) => {
    expect(() => readDemandReport({ ...report('one', {}), ...more })).toThrow();
  });

  test('without the fields, or with null for them, is read', () => {
    const waiting = [demandOf({}), { ...demandOf({}), priority: null, slackMs: null }];
    expect(readDemandReport({ ...report('one', {}), waiting }).waiting).toHaveLength(2);
  });
});
