/** The instance that reads the store relays every change that the others need. */
import { Left, Right } from 'purify-ts';
import VirtualClock from '@wisteriapath/virtual-clock';
import {
  type RecordDecoder,
  type RegisteredTarget,
  StoreTopic,
  TargetTable,
} from '@wisteriapath/fleet';
import StoreView from '../src/StoreView';
import targetEntry from './support/targetEntry';

const SETTLING_MS = 2_000;
const RECOVERY_MS = 2_300;
/** Value of a record that holds no entry. */
const UNREADABLE = 255;

const start = (settlingMs = 0) => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  const entries: RegisteredTarget[] = [];
  const relayed: RegisteredTarget[] = [];
  const lines: string[] = [];
  const view = new StoreView({
    clock,
    table,
    // A record holds the number of its entry.
    decoder: {
      target: (_: string, value: Uint8Array) =>
        value[0] < entries.length ? Right(entries[value[0]]) : Left('odd'),
    } as unknown as RecordDecoder,
    log: { event: (name) => lines.push(name) },
    settlingMs: () => settlingMs,
    recoveryMs: () => RECOVERY_MS,
    onDesiredState: () => {},
    onTargetsRemoved: () => {},
    onStoreReturned: () => {},
    relayTargets: ({ records }) =>
      relayed.push(...records.map(({ value }) => entries[value[0]]).filter(Boolean)),
  });
  let end = 0;
  const readValue = (key: string, value: Uint8Array, ageMs = 0) => {
    const from = end === 0 ? null : { era: 1, offset: end };
    const position = { era: 1, offset: end };
    end += 1;
    view.mergeFromStore(StoreTopic.Targets, {
      from,
      to: { era: 1, offset: end },
      records: [{ key, position, value, ageMs, settlesInMs: 0 }],
      hasEveryRecord: true,
      settlesInMs: 0,
    });
  };
  return {
    clock,
    table,
    relayed,
    lines,
    readUnreadable: (id: string) => readValue(id, new Uint8Array([UNREADABLE])),
    readDeletion: (id: string) => readValue(id, new Uint8Array()),
    read: (target: RegisteredTarget, ageMs?: number) =>
      readValue(target.id, new Uint8Array([entries.push(target) - 1]), ageMs),
  };
};

test('an engine that turns cold again before it was warm is relayed as cold', async () => {
  const { clock, relayed, read } = start();
  read(targetEntry({ id: 'other' }));
  read(targetEntry({ coldLeftMs: 500 }));
  await clock.advance(400);
  read(targetEntry({ entryNumber: 2, coldLeftMs: 3_000 }));
  await clock.advance(1_000);
  read(targetEntry({ entryNumber: 3, coldLeftMs: 1_990 }));
  expect(relayed.map(({ coldLeftMs }) => coldLeftMs)).toEqual([500, 3_000]);
});

test('the entry of a target after one of another writer is relayed, though it says nothing new', () => {
  const { table, relayed, lines, read, readUnreadable } = start();
  read(targetEntry({ id: 'other' }));
  read(targetEntry());
  readUnreadable('target-0');
  read(targetEntry({ entryNumber: 2 }));
  read(targetEntry({ entryNumber: 3, failureDomain: 'b' }));
  read(targetEntry({ entryNumber: 3 }));
  read(targetEntry({ entryNumber: 4 }));
  expect(relayed.map(({ entryNumber, failureDomain }) => [entryNumber, failureDomain])).toEqual([
    [1, 'a'],
    [2, 'a'],
    [3, 'b'],
    [3, 'a'],
  ]);
  expect(table.get('target-0')?.entry.failureDomain).toBe('a');
  expect(lines.slice(-2)).toEqual(['target_entry_unreadable', 'target_entry_ignored']);
});

test('a target that registers anew before its removal is final is relayed, so that peers do not remove it', () => {
  const { table, relayed, read, readDeletion } = start(SETTLING_MS);
  read(targetEntry({ id: 'other' }));
  read(targetEntry());
  readDeletion('target-0');
  read(targetEntry({ entryNumber: 2 }));
  expect(relayed.map(({ entryNumber }) => entryNumber)).toEqual([1, 2]);
  expect(table.get('target-0')).toBeDefined();
});

test('the end that a target announced is counted from when its entry was written, and logged', () => {
  const { clock, table, lines, read } = start();
  read(targetEntry({ isLeaving: true }));
  read(targetEntry({ entryNumber: 2, isLeaving: true, remainingMs: 5_000 }), 1_200);
  expect(table.get(targetEntry().id)!.goneAtMs).toBe(clock.nowMs() + 3_800);
  expect(lines.filter((name) => name === 'target_seen')).toHaveLength(2);
});
