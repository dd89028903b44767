/** The instance that reads the store relays every change that the others need. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { type RegisteredTarget, TargetTable } from '@wisteriapath/fleet';
import StoreView from '../src/StoreView';
import targetEntry from './support/targetEntry';

test('an engine that turns cold again before it was warm is relayed as cold', async () => {
  const clock = new VirtualClock();
  const relayed: number[] = [];
  const view = new StoreView({
    table: new TargetTable(clock),
    log: { event: () => {} },
    onDesiredState: () => {},
    onTargetsRemoved: () => {},
    relay: ({ targets }) => relayed.push(...targets.map(({ coldLeftMs }) => coldLeftMs)),
  });
  const read = (to: number, target: RegisteredTarget) =>
    view.targets({ from: to - 1, to, targets: [target], gone: [] });
  read(1, targetEntry({ coldLeftMs: 500 }));
  await clock.advance(400);
  read(2, targetEntry({ entryNumber: 2, coldLeftMs: 3_000 }));
  await clock.advance(1_000);
  read(3, targetEntry({ entryNumber: 3, coldLeftMs: 1_990 }));
  expect(relayed).toEqual([500, 3_000]);
});
