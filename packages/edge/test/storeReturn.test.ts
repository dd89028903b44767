/** After the store came back from an older copy, nothing that was known to be withdrawn, leaving or gone is believed again. */
import { Left, Right } from 'purify-ts';
import VirtualClock from '@wisteriapath/virtual-clock';
import {
  type DesiredState,
  type KeyedRecord,
  type RecordDecoder,
  type RegisteredTarget,
  type StorePosition,
  StoreTopic,
  TargetTable,
} from '@wisteriapath/fleet';
import StoreView from '../src/StoreView';
import targetEntry from './support/targetEntry';

const RECOVERY_MS = 2_300;
const BEFORE = 1;
const AFTER = 2;

const at = (era: number, offset: number): StorePosition => ({ era, offset });

/** A view whose records hold the number of what they stand for: an entry, or the version of a desired state. */
const start = () => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  const entries: RegisteredTarget[] = [];
  const lines: (readonly [string, Readonly<Record<string, unknown>>])[] = [];
  const decoder: RecordDecoder = {
    drainedDomain: (key) => (key.startsWith('out/') ? key.slice(4) : undefined),
    isDesiredState: (key) => key === 'config',
    desiredState: ([version]) =>
      ({ version, routes: [], pools: new Map(), workspaces: null }) as unknown as DesiredState,
    target: (_, [index]) => (index < entries.length ? Right(entries[index]) : Left('odd')),
  };
  const view = new StoreView({
    clock,
    table,
    decoder,
    log: { event: (name, fields) => lines.push([name, fields]) },
    settlingMs: () => 0,
    recoveryMs: () => RECOVERY_MS,
    onDesiredState: () => {},
    onTargetsRemoved: () => {},
    onStoreReturned: () => {},
    relayTargets: () => {},
  });
  const record = (key: string, value: readonly number[], position: StorePosition): KeyedRecord => ({
    key,
    position,
    value: new Uint8Array(value),
    ageMs: 0,
    settlesInMs: 0,
  });
  const valueOf = (entry: RegisteredTarget) => [entries.push(entry) - 1];
  const merge = (
    topic: StoreTopic,
    era: number,
    from: number | null,
    written: readonly (readonly [string, readonly number[]])[],
  ) => {
    const first = from ?? 0;
    const records = written.map(([key, value], index) =>
      record(key, value, at(era, first + index)),
    );
    view.mergeFromStore(topic, {
      from: from === null ? null : at(era, from),
      to: at(era, first + written.length),
      records,
      hasEveryRecord: from !== null,
      settlesInMs: 0,
    });
  };
  return {
    clock,
    table,
    view,
    lines,
    /** Lists or reads the entries of targets. */
    targets: (era: number, from: number | null, written: readonly RegisteredTarget[]) =>
      merge(
        StoreTopic.Targets,
        era,
        from,
        written.map((entry) => [entry.id, valueOf(entry)]),
      ),
    remove: (era: number, from: number, id: string) =>
      merge(StoreTopic.Targets, era, from, [[id, []]]),
    operator: (era: number, from: number | null, written: Parameters<typeof merge>[3]) =>
      merge(StoreTopic.Operator, era, from, written),
  };
};

test('a target that is known to leave does not stay by its older entries, in the copy or written again', () => {
  const { table, targets } = start();
  targets(BEFORE, null, [targetEntry({ entryNumber: 4 })]);
  targets(BEFORE, 1, [targetEntry({ entryNumber: 5, isLeaving: true })]);
  targets(AFTER, null, [targetEntry({ entryNumber: 1 })]);
  [2, 3, 4].forEach((entryNumber, index) => {
    targets(AFTER, 1 + index, [targetEntry({ entryNumber })]);
    expect(table.inService('guides')).toEqual([]);
  });
  targets(AFTER, 4, [targetEntry({ entryNumber: 6 })]);
  expect(table.inService('guides')).toHaveLength(1);
});

test('a target that was removed is not back by the list of the copy, but by an entry written after it', () => {
  const { table, targets, remove } = start();
  targets(BEFORE, null, [targetEntry({ entryNumber: 4 }), targetEntry({ id: 'other' })]);
  remove(BEFORE, 2, 'target-0');
  expect(table.get('target-0')).toBeUndefined();
  // Its last entry said nothing new, so this instance knows a lower number than the copy has.
  targets(AFTER, null, [targetEntry({ entryNumber: 7 }), targetEntry({ id: 'other' })]);
  expect(table.get('target-0')).toBeUndefined();
  targets(AFTER, 2, [targetEntry({ entryNumber: 8 })]);
  expect(table.get('target-0')).toBeDefined();
});

test('a target that was removed and started anew is back by the list of the copy', () => {
  const { table, targets, remove } = start();
  targets(BEFORE, null, [targetEntry()]);
  remove(BEFORE, 1, 'target-0');
  targets(AFTER, null, [targetEntry({ bornMs: 2 })]);
  expect(table.get('target-0')).toBeDefined();
});

test('a target that the copy lacks is kept until live ones have registered again, and not for good', async () => {
  const { clock, table, targets } = start();
  targets(BEFORE, null, [targetEntry(), targetEntry({ id: 'dead' })]);
  targets(AFTER, null, []);
  await clock.advance(RECOVERY_MS - 100);
  targets(AFTER, 0, [targetEntry({ entryNumber: 2 })]);
  expect(table.size).toBe(2);
  await clock.advance(200);
  expect(table.allTargets().map(({ entry }) => entry.id)).toEqual(['target-0']);
});

test('the version in force does not fall with the copy, and the next one counts at whatever offset', () => {
  const { view, operator } = start();
  operator(BEFORE, null, [['config', [4]]]);
  operator(BEFORE, 1, [['config', [5]]]);
  operator(BEFORE, 2, [['config', [6]]]);
  operator(AFTER, null, [['config', [4]]]);
  expect(view.desired!.version).toBe(6);
  operator(AFTER, 1, [['config', [7]]]);
  expect(view.desired!.version).toBe(7);
});

test('a domain out of service that the copy lacks stays out for a while, one that the copy has is out at once', async () => {
  const { clock, table, operator } = start();
  const out = () => [...table.drainedDomains].sort();
  operator(BEFORE, null, []);
  operator(BEFORE, 0, [['out/a', [1]]]);
  operator(BEFORE, 1, [['out/b', [1]]]);
  operator(AFTER, null, [['out/c', [1]]]);
  expect(out()).toEqual(['a', 'b', 'c']);
  await clock.advance(RECOVERY_MS / 2);
  operator(AFTER, 1, [['out/b', [1]]]);
  await clock.advance(RECOVERY_MS);
  expect(out()).toEqual(['b', 'c']);
  operator(AFTER, 2, [['out/b', []]]);
  expect(out()).toEqual(['c']);
});

test('a return is told once for each topic, with both eras and what was read again', () => {
  const { lines, targets, view } = start();
  targets(BEFORE, null, [targetEntry(), targetEntry({ id: 'other' })]);
  targets(AFTER, null, [targetEntry()]);
  targets(AFTER, null, [targetEntry()]);
  targets(BEFORE, null, [targetEntry()]);
  const changes = lines.filter(([name]) => name === 'store_era_changed');
  expect(changes.map(([, fields]) => fields)).toEqual([
    {
      topic: 'targets',
      source: 'store',
      old: 1,
      new: 2,
      old_to: 2,
      to: 1,
      keys_read: 1,
      settles_in_ms: RECOVERY_MS,
    },
  ]);
  expect(view.end(StoreTopic.Targets)).toEqual(at(2, 1));
});
