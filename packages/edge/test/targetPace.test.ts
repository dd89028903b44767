/**
 * Guards that the speed of a target is told apart from the size of its models and from short slow spans, as on a
 * deployment with engines of 0.6 to 1.6 times the usual speed, of which some do work that takes 2.5 times as long.
 */
import VirtualClock from '@wisteriapath/virtual-clock';
import { TargetTable } from '@wisteriapath/fleet';
import TargetPace from '../src/TargetPace';
import targetEntry from './support/targetEntry';

/** Time between two events of 9 tokens at the usual speed. */
const USUAL_GAP_MS = 47;
const SLOW_WORK_TIME = 2.5;
const POOL = 'guides';

interface StreamOptions {
  readonly sizeFactor?: number;
  readonly speed?: number;
  readonly workTime?: number;
  /** The work time that the target reports, if it is not the true one. */
  readonly told?: number;
  readonly samples?: number;
}

const start = (ids: readonly string[]) => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  ids.forEach((id) => table.applyEntry(targetEntry({ id })));
  const pace = new TargetPace(clock, table);
  /** One stream: the work time in the response's head, then gaps of a target with a speed and work time. */
  const stream = async (
    id: string,
    model: string,
    { sizeFactor = 1, speed = 1, workTime = 1, told, samples = 7 }: StreamOptions = {},
  ) => {
    pace.recordWorkTime(id, told ?? workTime);
    for (let count = 0; count < samples; count += 1) {
      const gapMs = (USUAL_GAP_MS * sizeFactor * workTime) / speed;
      await clock.advance(gapMs * 4);
      pace.recordGap(id, model, gapMs);
    }
  };
  return { clock, table, pace, stream };
};

const gapOf = (pace: TargetPace, id: string, model = 'small') => pace.expect(id, model).slowGapMs!;

test('a large model does not make its engine look slow', async () => {
  const { pace, stream } = start(['one', 'two', 'three']);
  for (let round = 0; round < 4; round += 1) {
    await stream('one', 'large', { sizeFactor: 1.9 });
    await stream('two', 'small');
    await stream('three', 'large', { sizeFactor: 1.9 });
    await stream('three', 'small');
  }
  expect(pace.expect('one', 'small').slowness).toBeLessThan(1.3);
  expect(gapOf(pace, 'one', 'large') / gapOf(pace, 'two', 'small')).toBeGreaterThan(1.5);
});

test('an engine of a lower speed is expected to be slow with models that it has not run', async () => {
  const { pace, stream } = start(['slow', 'usual', 'fast']);
  for (let round = 0; round < 4; round += 1) {
    await stream('slow', 'a', { speed: 0.6 });
    await stream('usual', 'a');
    await stream('usual', 'b');
    await stream('fast', 'b', { speed: 1.6 });
  }
  expect(gapOf(pace, 'slow', 'b')).toBeGreaterThan(60);
  expect(gapOf(pace, 'fast', 'a')).toBeLessThan(40);
});

test('an engine that combines a low speed with slow work is expected to break a gap of 200 ms, a fast one is not', async () => {
  const { pace, stream } = start(['slow', 'usual', 'fast']);
  for (let round = 0; round < 6; round += 1) {
    await stream('slow', 'a', { speed: 0.6, workTime: SLOW_WORK_TIME, sizeFactor: 1.1 });
    await stream('usual', 'a', { sizeFactor: 1.1 });
    await stream('fast', 'a', { speed: 1.6, workTime: SLOW_WORK_TIME, sizeFactor: 1.1 });
  }
  expect(gapOf(pace, 'slow', 'a')).toBeGreaterThan(180);
  expect(gapOf(pace, 'fast', 'a')).toBeLessThan(120);
});

test('an engine that has not been measured is judged by the work time that it reports', async () => {
  const { pace, stream } = start(['usual', 'new']);
  await stream('usual', 'a');
  pace.recordWorkTime('new', SLOW_WORK_TIME);
  expect(gapOf(pace, 'new', 'a')).toBeGreaterThan(USUAL_GAP_MS * 2);
});

test('slow spans count after their end, as the next stream meets one again', async () => {
  const { clock, pace, stream } = start(['usual', 'alternating']);
  await stream('usual', 'a', { samples: 20 });
  for (let round = 0; round < 4; round += 1) {
    await stream('alternating', 'a', { workTime: SLOW_WORK_TIME, samples: 2 });
    await stream('alternating', 'a', { samples: 4 });
  }
  await clock.advance(1_000);
  expect(gapOf(pace, 'alternating', 'a')).toBeGreaterThan(USUAL_GAP_MS * 1.8);
  expect(pace.expect('alternating', 'a').slowness).toBeLessThan(1.9);
});

test('a target that claims to be fast and is measured to be slow counts as measured', async () => {
  const { clock, pace, stream } = start(['usual', 'boaster']);
  for (let round = 0; round < 4; round += 1) {
    await stream('usual', 'a');
    await stream('boaster', 'a', { workTime: SLOW_WORK_TIME, told: 0.01 });
  }
  await clock.advance(1_000);
  const [boaster, usual] = ['boaster', 'usual'].map((id) => pace.expect(id, 'a').slowness);
  expect(boaster / usual).toBeGreaterThan(1.8);
});

test('one long stall leaves a target usable', async () => {
  const { pace, stream } = start(['one', 'two']);
  await stream('one', 'a', { samples: 20 });
  await stream('two', 'a', { samples: 20 });
  pace.recordGap('two', 'a', 9_000);
  await stream('two', 'a', { samples: 20 });
  expect(pace.expect('two', 'a').slowness).toBeLessThan(1.3);
  expect(gapOf(pace, 'two', 'a')).toBeLessThan(160);
});

test('a target that started anew has none of the history of the one before', async () => {
  const { pace, table, stream } = start(['one', 'two']);
  await stream('one', 'a');
  await stream('two', 'a', { speed: 0.3, workTime: SLOW_WORK_TIME });
  table.applyEntry(targetEntry({ id: 'two', bornMs: 2 }));
  expect(pace.expect('two', 'a').slowness).toBe(1);
});

test('what is known of a target that is not used is forgotten, so that it is tried again', async () => {
  const { clock, pace, stream } = start(['one', 'two']);
  await stream('one', 'a');
  await stream('two', 'a', { workTime: SLOW_WORK_TIME });
  const before = pace.expect('two', 'a').slowness;
  await clock.advance(240_000);
  expect(before).toBeGreaterThan(1.8);
  expect(pace.expect('two', 'a').slowness).toBeLessThan(1.1);
});

test('a pool counts as one whose targets report work times only while they do', async () => {
  const { clock, pace } = start(['one']);
  expect(pace.isReported(POOL)).toBe(false);
  pace.recordGap('one', 'a', USUAL_GAP_MS);
  expect(pace.isReported(POOL)).toBe(false);
  pace.recordWorkTime('one', 1);
  expect(pace.isReported(POOL)).toBe(true);
  await clock.advance(120_000);
  expect(pace.isReported(POOL)).toBe(false);
});

test('state is kept for registered targets only', () => {
  const { pace } = start(['one']);
  pace.recordWorkTime('unknown', 2);
  expect(pace.expect('unknown', 'a').slowness).toBe(1);
  pace.recordWorkTime('one', 2);
  pace.retain(new Set());
  expect(pace.expect('one', 'a').slowness).toBe(1);
  expect(pace.isReported(POOL)).toBe(false);
});

describe('the rows for the placers', () => {
  test('tell what was measured since the last report, once', async () => {
    const { pace, stream } = start(['one', 'two', 'three']);
    for (let round = 0; round < 4; round += 1) {
      await stream('one', 'a');
      await stream('two', 'a', { workTime: SLOW_WORK_TIME });
    }
    const rows = pace.takeRows(9);
    expect(rows.map(([id]) => id)).toEqual(['one', 'two']);
    const [[, onePace, , oneWorkTime], [, twoPace, , twoWorkTime]] = rows;
    expect(onePace / (USUAL_GAP_MS * 10)).toBeCloseTo(1, 0);
    expect(twoPace / onePace).toBeLessThan(1.4);
    expect(oneWorkTime).toBeLessThan(150);
    expect(twoWorkTime).toBeGreaterThan(200);
    expect(pace.takeRows(9)).toEqual([]);
  });

  test('tell the time to a response of a service, though it also streams', async () => {
    const { clock, table, pace } = start([]);
    ['one', 'two'].forEach((id) => table.applyEntry(targetEntry({ id, models: new Map() })));
    for (let count = 0; count < 20; count += 1) {
      pace.recordWorkTime('one', 1);
      pace.recordResponse('one', { model: '', timeMs: 21, units: 256 });
      pace.recordGap('one', '', USUAL_GAP_MS);
      await clock.advance(50);
    }
    const [[, figure]] = pace.takeRows(9);
    expect(figure / 10).toBeGreaterThan(15);
    expect(figure / 10).toBeLessThan(30);
  });

  test('are bounded, and the rest comes with the next report', () => {
    const { pace } = start(['one', 'two', 'three']);
    ['one', 'two', 'three'].forEach((id) => pace.recordWorkTime(id, 1));
    expect(pace.takeRows(2)).toHaveLength(2);
    expect(pace.takeRows(2)).toHaveLength(1);
  });

  test('are empty in a pool whose targets report no work times', () => {
    const { pace } = start(['one']);
    pace.recordGap('one', 'a', USUAL_GAP_MS);
    expect(pace.takeRows(9)).toEqual([]);
  });
});
