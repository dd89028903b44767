/** Guards that an operator finds slow targets in the log, and that a target near the limit does not fill it. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { TargetTable } from '@wisteriapath/fleet';
import TargetPace from '../src/TargetPace';
import targetEntry from './support/targetEntry';

const start = () => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  table.applyEntry(targetEntry({ id: 'one' }));
  const lines: Record<string, unknown>[] = [];
  const log = {
    event: (name: string, fields: object) => {
      lines.push({ name, ...fields });
    },
  };
  const pace = new TargetPace(clock, table, () => 1, log);
  return { clock, pace, lines };
};

test('a target that reports slow work is logged once, and again when it no longer is slow', async () => {
  const { clock, pace, lines } = start();
  for (let count = 0; count < 50; count += 1) {
    pace.recordWorkTime('one', 3);
    await clock.advance(100);
  }
  expect(lines).toEqual([
    expect.objectContaining({ name: 'target_pace', target: 'one', slow: true, measured: false }),
  ]);
  expect(pace.slowCount).toBe(1);
  for (let count = 0; count < 600; count += 1) {
    pace.recordWorkTime('one', 1);
    await clock.advance(100);
  }
  expect(lines.slice(1)).toEqual([expect.objectContaining({ target: 'one', slow: false })]);
  expect(pace.slowCount).toBe(0);
});

test('a target that a placer tells to be slow is logged', () => {
  const { pace, lines } = start();
  pace.recordShared([['one', 200, 1, 250, 1]]);
  expect(lines).toEqual([expect.objectContaining({ target: 'one', slow: true })]);
});

test('a target that is slow again and again is logged at a limited rate', async () => {
  const { clock, pace, lines } = start();
  for (let count = 0; count < 1_000; count += 1) {
    pace.recordShared([['one', count % 2 === 0 ? 400 : 60, 1, 100, 1]]);
    await clock.advance(20);
  }
  expect(lines.length).toBeLessThanOrEqual(5);
});
