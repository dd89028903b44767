/**
 * Appends to the lease whose answers are lost, or that are carried out late, give no authority for longer than other
 * machines wait, and a process that takes over the lease of its machine does not shorten its handover delay.
 */
import startLeases from './support/startLeases';

const HANDOVER_DELAY_MS = 3_000;
const start = async () => {
  const fleet = startLeases({ names: ['one', 'two'], handoverDelayMs: HANDOVER_DELAY_MS });
  await fleet.run(4_000);
  expect(fleet.holders()).toEqual(['one']);
  return fleet;
};

test.each([{ returns: 0 }, { returns: 1 }])(
  'after $returns returns authority counts from the first of two renewals of which one was carried out late',
  async ({ returns }) => {
    const fleet = await start();
    const one = fleet.of('one');
    if (returns > 0) fleet.store.returnTo(0);
    Object.assign(one, { holdsAppends: true, isSilent: true });
    await fleet.run(700);
    Object.assign(one, { isUnreachable: true });
    fleet.store.carryOutHeld();
    await fleet.run(1_400);
    Object.assign(one, { isUnreachable: false, holdsAppends: false });
    const { length } = fleet.store;
    for (let ticks = 0; ticks < 10 && fleet.store.length === length; ticks += 1) {
      await fleet.run(50);
    }
    Object.assign(one, { isUnreachable: true });
    await fleet.run(12_000);
    expect(fleet.holders()).toEqual(['one', 'two']);
    expect(fleet.faults()).toEqual([]);
  },
);

test('a takeover whose answer was lost keeps the handover delay', async () => {
  const fleet = await start();
  Object.assign(fleet.of('one'), { isUnreachable: true, isSilent: true });
  const { length } = fleet.store;
  Object.assign(fleet.of('two'), { losesAppendAnswers: true });
  while (fleet.store.length === length) await fleet.run(50);
  Object.assign(fleet.of('two'), { losesAppendAnswers: false });
  await fleet.run(9_000);
  expect(fleet.holders()).toEqual(['one', 'two']);
  expect(fleet.faults()).toEqual([]);
});

test('a process that restarts while it waits after a takeover keeps the handover delay', async () => {
  const fleet = await start();
  Object.assign(fleet.of('one'), { isUnreachable: true, isSilent: true });
  while (!fleet.of('two').lease.isHolder) await fleet.run(50);
  fleet.restart('two', '2');
  await fleet.run(9_000);
  expect(fleet.holders()).toEqual(['one', 'two']);
  expect(fleet.faults()).toEqual([]);
});

test('an absurd claim of a peer does not shorten the wait for a holder that falls silent later', async () => {
  const fleet = await start();
  fleet.of('two').lease.observeHolder({ era: 9, offset: 1e9 });
  await fleet.run(6_000);
  Object.assign(fleet.of('one'), { isUnreachable: true, isSilent: true });
  await fleet.run(9_000);
  expect(fleet.holders()).toEqual(['one', 'two']);
  expect(fleet.faults()).toEqual([]);
});

test('a holder that is heard again while a candidate waits keeps the lease without the store', async () => {
  const fleet = await start();
  const one = fleet.of('one');
  Object.assign(one, { isUnreachable: true, isSilent: true });
  await fleet.run(1_300);
  Object.assign(one, { isSilent: false });
  await fleet.run(6_000);
  expect(fleet.holders()).toEqual(['one']);
  Object.assign(one, { isUnreachable: false });
  await fleet.run(6_000);
  expect(fleet.faults()).toEqual([]);
});
