/**
 * Guards what a placer concludes of the speed of targets from the reports of many instances: a slow engine is found
 * although each instance measures it rarely, and neither an absurd report nor an old one counts.
 */
import VirtualClock from '@wisteriapath/virtual-clock';
import { type TargetRow, TargetSpeeds, TargetTable } from '../src';
import readTargetRows from '../src/readTargetRows';
import builders from './support/builders';

const USUAL_PACE = 500;

const start = (count = 6) => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  const ids = Array.from({ length: count }, (_, number) => `engine-${number}`);
  ids.forEach((id) => table.applyEntry(builders.target(id, ['a'], { slots: 16 })));
  const speeds = new TargetSpeeds(clock, table);
  /** Reports of one instance: a usual pace at all engines, but for the given ones. */
  const report = (
    paces: Readonly<Record<string, Partial<{ pace: number; load: number; workTime: number }>>>,
  ) =>
    speeds.record(
      ids.map((id) => {
        const { pace = USUAL_PACE, load = 2, workTime = 100 } = paces[id] ?? {};
        return [id, pace, load, workTime, 1] as TargetRow;
      }),
    );
  return { clock, table, speeds, report };
};

test('an engine that several instances measured to be slow is slower by steps', () => {
  const { speeds, report } = start();
  for (let instance = 0; instance < 4; instance += 1) {
    report({ 'engine-1': { pace: USUAL_PACE / 0.6, workTime: 250 }, 'engine-2': { pace: 312 } });
  }
  const ratings = speeds.ratingsOf('guides');
  expect(ratings.get('engine-0')?.step).toBe(0);
  expect(ratings.get('engine-1')?.step).toBeGreaterThanOrEqual(3);
  expect(ratings.get('engine-1')?.gapMs).toBeGreaterThan(150);
  expect(ratings.get('engine-2')?.step).toBe(-1);
});

test('one report counts less than several', () => {
  const gaps = [1, 6].map((instances) => {
    const { speeds, report } = start();
    for (let count = 0; count < instances; count += 1) report({ 'engine-1': { pace: 2_000 } });
    return speeds.ratingsOf('guides').get('engine-1')!.gapMs!;
  });
  expect(gaps[0]).toBeLessThan(gaps[1]);
});

test('the digest tells of targets that deviate, the largest deviation first', () => {
  const { speeds, report } = start();
  for (let instance = 0; instance < 4; instance += 1) {
    report({
      'engine-1': { pace: 800 },
      'engine-2': { workTime: 250, pace: 800 },
      'engine-3': { load: 16 },
    });
  }
  expect(speeds.digest.map(([id]) => id)).toEqual(['engine-2', 'engine-3', 'engine-1']);
  const [, slowness, load, workTime, bornMs] = speeds.digest[0];
  expect([load, bornMs]).toEqual([2, 1]);
  expect(slowness).toBeGreaterThan(140);
  expect(workTime).toBeGreaterThan(200);
  expect(workTime).toBeLessThanOrEqual(250);
});

test('a pool whose targets are alike has an empty digest', () => {
  const { speeds, report } = start();
  report({});
  expect(speeds.digest).toEqual([]);
});

test('a reported load is no longer told after 3 s, a speed counts for less and is forgotten after a minute', async () => {
  const { clock, speeds, report } = start();
  for (let instance = 0; instance < 4; instance += 1) {
    report({ 'engine-1': { workTime: 250 }, 'engine-2': { load: 16 } });
  }
  expect(speeds.digest.map(([id]) => id)).toEqual(['engine-1', 'engine-2']);
  await clock.advance(3_100);
  const [[id, , load, workTime], ...others] = speeds.digest;
  expect([id, load, others]).toEqual(['engine-1', 0, []]);
  expect(workTime).toBeGreaterThan(200);
  expect(speeds.ratingsOf('guides').get('engine-1')?.step).toBe(2);
  await clock.advance(60_000);
  expect(speeds.digest).toEqual([]);
  expect(speeds.ratingsOf('guides').get('engine-1')?.step).toBe(0);
});

test('a slow span that some instances met counts though other instances met none', () => {
  const { speeds, report } = start();
  for (let instance = 0; instance < 6; instance += 1) {
    report({ 'engine-1': { workTime: instance % 2 === 0 ? 250 : 100 } });
  }
  expect(speeds.ratingsOf('guides').get('engine-1')?.step).toBe(2);
});

test('an engine that started anew has none of the speed of the one before', () => {
  const { table, speeds, report } = start();
  for (let instance = 0; instance < 4; instance += 1) report({ 'engine-1': { workTime: 250 } });
  table.applyEntry(builders.target('engine-1', ['a'], { bornMs: 2, slots: 16 }));
  expect(speeds.ratingsOf('guides').has('engine-1')).toBe(false);
  expect(speeds.digest).toEqual([]);
  report({ 'engine-1': { workTime: 250 } });
  expect(speeds.ratingsOf('guides').has('engine-1')).toBe(false);
});

test('rows that name a target which is not registered are not kept', () => {
  const { speeds } = start();
  speeds.record([['unknown', 500, 1, 100, 1]]);
  expect(speeds.isKnown('guides')).toBe(false);
});

test.each([
  ['no list', 'text'],
  ['a pace that is negative', [['i', -1, 1, 100, 1]]],
  ['a pace that no target has', [['i', 1e9, 1, 100, 1]]],
  ['a load that no target has', [['i', 500, 1e9, 100, 1]]],
  ['a work time of 0', [['i', 500, 1, 0, 1]]],
  ['a word', [['i', 500, 1, 'fast', 1]]],
  ['no number', [['i', NaN, 1, 100, 1]]],
  ['too few figures', [['i', 500, 1]]],
  ['no id', [[7, 500, 1, 100, 1]]],
  ['no row', [null, undefined, 7]],
])('rows with %s are left out', (_, payload) => {
  expect(readTargetRows(payload)).toEqual([]);
});

test('a row is kept beside one that is left out, and their number is bounded', () => {
  const row = ['i', 500, 1, 100, 1];
  expect(readTargetRows([['i', -1, 1, 100, 1], row])).toEqual([row]);
  expect(readTargetRows(Array.from({ length: 10_000 }, () => row)).length).toBeLessThan(100);
});
