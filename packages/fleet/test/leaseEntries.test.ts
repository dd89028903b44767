/** Further records that a holder appends beside its lease: they prove that it is held, and never prolong it. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { Lease, type LeaseContent, type LeaseStore, type StorePosition } from '../src';

const EPOCH_MS = 1_000_000;

const start = () => {
  const clock = new VirtualClock();
  const records: (LeaseContent & { isEntry?: boolean; offset: number; writtenInEra: number })[] =
    [];
  const faults = { refusesRenewals: false, losesEntryAnswers: false, hidesNewest: false };
  const append = (at: StorePosition, content: LeaseContent, isEntry: boolean) => {
    const isAppended = at.offset === records.length;
    if (isAppended) records.push({ ...content, isEntry, offset: at.offset, writtenInEra: at.era });
    return { isAppended, era: 0 };
  };
  const store: LeaseStore = {
    newest: () => {
      const record = records.findLast(({ isEntry }) => isEntry !== true) ?? null;
      const state = { era: 0, record, nextOffset: records.length };
      return Promise.resolve(faults.hidesNewest ? undefined : state);
    },
    append: (at, content) =>
      Promise.resolve(
        faults.refusesRenewals ? { isAppended: false, era: 0 } : append(at, content, false),
      ),
  };
  const lease = (machine: string) => {
    const created = new Lease(
      { machine, incarnation: '1', handoverDelayMs: 3_000 },
      {
        clock,
        wallClock: () => EPOCH_MS + clock.nowMs(),
        store,
        log: { event: () => {} },
        lastContact: () => undefined,
        rank: () => 0,
      },
    );
    void created.run();
    return created;
  };
  const empty = { holder: '', released: false, isSettled: false };
  const appendEntry = (at: StorePosition) => {
    const answer = append(at, empty, true);
    return Promise.resolve(faults.losesEntryAnswers ? undefined : answer);
  };
  return { clock, records, faults, lease, appendEntry };
};

/** Resolves an append while the clock runs. */
const settle = async (clock: VirtualClock, appended: Promise<boolean>) => {
  let result: boolean | undefined;
  void appended.then((isStored) => {
    result = isStored;
  });
  await clock.advance(700);
  return result;
};

test('an entry is stored between two renewals, and the lease goes on behind it', async () => {
  const { clock, records, lease, appendEntry } = start();
  const one = lease('one');
  await clock.advance(2_000);
  const { fence } = one;
  expect(await settle(clock, one.appendEntry(appendEntry))).toBe(true);
  await clock.advance(3_000);
  expect(one.isHeld()).toBe(true);
  expect(one.fence).toBe(fence);
  expect(records.filter(({ isEntry }) => isEntry)).toHaveLength(1);
});

// Candidates watch the record of the lease only: authority counted from an entry would outlast their wait.
test('an entry does not prolong the authority', async () => {
  const { clock, faults, lease, appendEntry } = start();
  const one = lease('one');
  await clock.advance(2_000);
  faults.refusesRenewals = true;
  for (let passedMs = 0; passedMs < 2_000; passedMs += 100) {
    void one.appendEntry(appendEntry);
    await clock.advance(100);
  }
  expect(one.isCurrent).toBe(false);
});

// The store has grown by the entry alone, which must not be taken for the renewal that it refused.
test('an entry that was stored without an answer is not taken for a renewal', async () => {
  const { clock, faults, lease, appendEntry } = start();
  const one = lease('one');
  await clock.advance(2_000);
  Object.assign(faults, { losesEntryAnswers: true, hidesNewest: true, refusesRenewals: true });
  void one.appendEntry(appendEntry);
  await clock.advance(1_000);
  faults.hidesNewest = false;
  await clock.advance(900);
  expect(one.isCurrent).toBe(false);
});

test('an entry whose answer was lost is known by its place', async () => {
  const { clock, records, faults, lease, appendEntry } = start();
  const one = lease('one');
  await clock.advance(2_000);
  faults.losesEntryAnswers = true;
  expect(await settle(clock, one.appendEntry(appendEntry))).toBe(true);
  await clock.advance(2_000);
  expect(one.isHeld()).toBe(true);
  expect(records.filter(({ isEntry }) => isEntry)).toHaveLength(1);
});

test('without the lease no entry is stored', async () => {
  const { clock, records, lease, appendEntry } = start();
  const one = lease('one');
  expect(await settle(clock, one.appendEntry(appendEntry))).toBe(false);
  await clock.advance(2_000);
  await one.resign();
  expect(await settle(clock, one.appendEntry(appendEntry))).toBe(false);
  expect(records.filter(({ isEntry }) => isEntry)).toEqual([]);
});
