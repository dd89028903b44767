/** The instance that reads the store relays every change that the others need. */
import VirtualClock from '@wisteriapath/virtual-clock';
import {
  type RecordDecoder,
  type RegisteredTarget,
  StoreTopic,
  TargetTable,
} from '@wisteriapath/fleet';
import StoreView from '../src/StoreView';
import targetEntry from './support/targetEntry';

test('an engine that turns cold again before it was warm is relayed as cold', async () => {
  const clock = new VirtualClock();
  const entries: RegisteredTarget[] = [];
  const relayed: number[] = [];
  const view = new StoreView({
    clock,
    table: new TargetTable(clock),
    // A record holds the number of its entry.
    decoder: {
      target: (_: string, value: Uint8Array) => entries[value[0]],
    } as unknown as RecordDecoder,
    log: { event: () => {} },
    settlingMs: () => 0,
    onDesiredState: () => {},
    onTargetsRemoved: () => {},
    relayTargets: ({ records }) =>
      relayed.push(...records.map(({ value }) => entries[value[0]].coldLeftMs)),
  });
  const read = (from: number | null, target: RegisteredTarget) => {
    const offset = from ?? 0;
    const value = new Uint8Array([entries.push(target) - 1]);
    view.mergeFromStore(StoreTopic.Targets, {
      from,
      to: offset + 1,
      records: [{ key: target.id, offset, value, ageMs: 0, settlesInMs: 0 }],
      hasEveryRecord: true,
      settlesInMs: 0,
    });
  };
  read(null, targetEntry({ id: 'other' }));
  read(1, targetEntry({ coldLeftMs: 500 }));
  await clock.advance(400);
  read(2, targetEntry({ entryNumber: 2, coldLeftMs: 3_000 }));
  await clock.advance(1_000);
  read(3, targetEntry({ entryNumber: 3, coldLeftMs: 1_990 }));
  expect(relayed).toEqual([500, 3_000]);
});
