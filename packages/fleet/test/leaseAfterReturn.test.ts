/**
 * When the store comes back from an older copy, and the newest records of the lease are gone, no fencing token is given
 * to two machines, none falls, and the handover delay passes between the orders of two machines.
 */
import startLeases from './support/startLeases';

const HANDOVER_DELAY_MS = 3_000;
const NAMES = ['zero', 'one', 'two'];
const SETTLED_MS = 10_000;
/** One machine has released the lease, one has taken and renewed it, and one is about to take it over. */
const CUT_AT_MS = 8_000;
/** Time after the cut at which the third holds the lease and has given orders. */
const TAKEN_OVER_MS = 7_000;

type Fleet = ReturnType<typeof startLeases>;

/** Brings the third machine to hold the lease; returns the number of records from each step. */
const passLeaseOn = async (): Promise<Fleet> => {
  const fleet = startLeases({ names: NAMES, handoverDelayMs: HANDOVER_DELAY_MS });
  await fleet.run(3_000);
  await fleet.stop('zero');
  await fleet.run(CUT_AT_MS - 3_000);
  Object.assign(fleet.of('one'), { isUnreachable: true, isSilent: true });
  await fleet.run(TAKEN_OVER_MS);
  expect(fleet.holders()).toEqual(NAMES);
  Object.assign(fleet.of('one'), { isUnreachable: false, isSilent: false });
  return fleet;
};

/** What befalls the last holder when the store returns. */
const TROUBLES: Readonly<Record<string, (fleet: Fleet) => void>> = {
  'in touch': () => {},
  'cut off from the store': ({ of }) => Object.assign(of('two'), { isUnreachable: true }),
  'cut off from all': ({ of }) => Object.assign(of('two'), { isUnreachable: true, isSilent: true }),
  suspended: ({ of }) => Object.assign(of('two'), { skewMs: 5_000 }),
  'without answers to its appends': ({ of }) =>
    Object.assign(of('two'), { losesAppendAnswers: true }),
  stopped: ({ stop }) => {
    void stop('two');
  },
  restarted: ({ restart }) => restart('two', '2'),
};

const heal = (fleet: Fleet): void => {
  Object.assign(fleet.of('two'), {
    isUnreachable: false,
    isSilent: false,
    losesAppendAnswers: false,
  });
};

/** Returns what is wrong after a return to each older copy of the lease, and whether an order was given at the end. */
const tryAllCopies = async (befall: (fleet: Fleet) => void, isTwice: boolean) => {
  const { store } = await passLeaseOn();
  const found: string[] = [];
  for (let length = 0; length <= store.length; length += 1) {
    const fleet = await passLeaseOn();
    fleet.store.returnTo(length);
    befall(fleet);
    await fleet.run(isTwice ? 2_400 : SETTLED_MS);
    if (isTwice) {
      fleet.store.returnTo(Math.min(length, fleet.store.length));
      await fleet.run(SETTLED_MS);
    }
    heal(fleet);
    await fleet.run(SETTLED_MS);
    found.push(...fleet.faults().map((fault) => `${length} records: ${fault}`));
    const lastMs = fleet.orders.at(-1)?.atMs ?? 0;
    if (fleet.clock.nowMs() - lastMs > 100) found.push(`${length} records: no order at the end`);
  }
  return found;
};

describe.each([
  { times: 'once', isTwice: false },
  { times: 'twice in a row', isTwice: true },
])('the store comes back $times from each older copy of a lease that was passed on', (given) => {
  test.each(Object.keys(TROUBLES))('the last holder is %s', async (trouble) => {
    expect(await tryAllCopies(TROUBLES[trouble], given.isTwice)).toEqual([]);
  });
});

test('a holder that goes on through a return keeps its token and gives orders without a break', async () => {
  const fleet = startLeases({ names: ['one', 'two'], handoverDelayMs: HANDOVER_DELAY_MS });
  await fleet.run(4_000);
  const { fence } = fleet.of('one').lease;
  for (const length of [3, 1, 0]) {
    fleet.store.returnTo(length);
    await fleet.run(2_000);
    expect(fleet.of('one').lease).toMatchObject({ fence, isCurrent: true });
    expect(fleet.store.length).toBeGreaterThan(length);
  }
  expect(fleet.holders()).toEqual(['one']);
  const gapsMs = fleet.orders.slice(1).map(({ atMs }, index) => atMs - fleet.orders[index].atMs);
  expect(Math.max(...gapsMs)).toBe(50);
});

test('a renewal from before a return that is carried out late does not give a superseded holder its lease back', async () => {
  const fleet = startLeases({ names: ['one', 'two'], handoverDelayMs: HANDOVER_DELAY_MS });
  await fleet.run(4_000);
  fleet.store.returnTo(0);
  await fleet.run(2_000);
  const one = fleet.of('one');
  Object.assign(one, { isUnreachable: true, isSilent: true });
  await fleet.run(TAKEN_OVER_MS);
  expect(fleet.holders()).toEqual(['one', 'two']);
  const late = { holder: 'one#1', released: false, isSettled: true };
  expect(fleet.store.append({ era: 0, offset: fleet.store.length }, late)).toBe(true);
  Object.assign(one, { isUnreachable: false });
  await fleet.run(SETTLED_MS);
  expect(fleet.faults()).toEqual([]);
});

test('a takeover carried out in an older copy than the one that was read gives no authority', async () => {
  const fleet = startLeases({ names: ['one', 'two'], handoverDelayMs: HANDOVER_DELAY_MS });
  const append = fleet.store.append.bind(fleet.store);
  // The store comes back between the read and the append.
  fleet.store.append = (at, content) => {
    if (fleet.store.era === 0) fleet.store.returnTo(0);
    return append(at, content);
  };
  await fleet.run(2_000);
  expect(fleet.of('one').lease.isHolder).toBe(false);
  await fleet.run(SETTLED_MS);
  expect(fleet.holders()).toEqual(['one']);
});

test('a holder of which an engine has seen a higher token takes the lease anew, with another one', async () => {
  const fleet = startLeases({ names: ['one', 'two'], handoverDelayMs: HANDOVER_DELAY_MS });
  await fleet.run(3_000);
  const { lease } = fleet.of('one');
  const { fence } = lease;
  lease.observeFenced(fence - 1);
  expect(lease.isHeld()).toBe(true);
  lease.observeFenced(fence);
  const sinceMs = fleet.clock.nowMs();
  expect(lease).toMatchObject({ isCurrent: false, fence: 0 });
  await fleet.run(SETTLED_MS);
  const next = fleet.orders.find(({ atMs }) => atMs > sinceMs)!;
  expect(next.fence).toBeGreaterThan(fence);
  expect(next.atMs - sinceMs).toBeGreaterThanOrEqual(HANDOVER_DELAY_MS);
});
