/** What an instance wrote to the store lately is written again when the store comes back from an older copy. */
import VirtualClock from '@wisteriapath/virtual-clock';
import type { FleetRecords, MemberRecord, QuarantineRecord } from '@wisteriapath/fleet';
import QuarantineKeeper from '../src/QuarantineKeeper';
import StoredRecords from '../src/StoredRecords';

const SELF = { name: 'one', incarnation: '1', failureDomain: 'a', host: '10.1.0.25', cores: 1 };
const CRASHES = [{ crashId: 'c1', ageMs: 0, sentBeforeMs: 5, hasEnded: true }];
/** Beyond the age of a copy of the store. */
const LONG_MS = 120_000;
const SHORT_MS = 3_000;

/** A store of members and quarantines that can come back from an older copy. */
class FakeMemberStore {
  readonly members = new Map<string, MemberRecord>();

  readonly quarantines = new Map<string, QuarantineRecord>();

  writes = 0;

  isDown = false;

  /** Forgets everything. */
  lose(): void {
    this.members.clear();
    this.quarantines.clear();
    this.writes = 0;
  }

  announce(member: MemberRecord): Promise<boolean> {
    if (!this.isDown) this.members.set(member.name, member);
    this.writes += 1;
    return Promise.resolve(!this.isDown);
  }

  saveQuarantine(quarantine: QuarantineRecord): Promise<boolean> {
    if (quarantine.crashes.length === 0) this.quarantines.delete(quarantine.trait);
    else this.quarantines.set(quarantine.trait, quarantine);
    this.writes += 1;
    return Promise.resolve(true);
  }

  list(): Promise<FleetRecords | undefined> {
    const { members, quarantines } = this;
    return Promise.resolve({
      members: [...members.values()],
      quarantines: [...quarantines.values()],
    });
  }
}

const start = async ({ isWriter = true } = {}) => {
  const clock = new VirtualClock();
  const store = new FakeMemberStore();
  const log = { event: () => {} };
  const keeper = new QuarantineKeeper({
    clock,
    wallClock: () => clock.nowMs(),
    log,
    store,
    isWriter: () => isWriter,
  });
  const records = new StoredRecords({
    clock,
    log,
    store,
    keeper,
    self: SELF,
    isOver: () => false,
    onLearned: () => {},
  });
  void records.learn();
  await clock.advance(SHORT_MS);
  return { clock, store, keeper, records };
};

test('a member that was announced shortly before is announced again', async () => {
  const { clock, store, records } = await start();
  store.lose();
  records.writeAgain(2);
  await clock.advance(SHORT_MS);
  expect([...store.members.values()]).toEqual([SELF]);
});

test('a member is announced again as soon as the store takes it', async () => {
  const { clock, store, records } = await start();
  store.lose();
  store.isDown = true;
  records.writeAgain(2);
  await clock.advance(SHORT_MS);
  expect(store.members.size).toBe(0);
  store.isDown = false;
  await clock.advance(SHORT_MS);
  expect(store.members.size).toBe(1);
});

test('one era is told of by each topic and peer, and what was written is written again once', async () => {
  const { clock, store, records } = await start();
  store.lose();
  [2, 2, 1, 2].forEach((era) => records.writeAgain(era));
  await clock.advance(SHORT_MS);
  expect(store.writes).toBe(1);
  records.writeAgain(3);
  await clock.advance(SHORT_MS);
  expect(store.writes).toBe(2);
});

test('what is older than any copy is not written again', async () => {
  const { clock, store, keeper, records } = await start();
  keeper.save('part:a1', CRASHES);
  await clock.advance(LONG_MS);
  store.lose();
  records.writeAgain(2);
  await clock.advance(SHORT_MS);
  expect(store.writes).toBe(0);
});

test('a quarantine that was kept shortly before is kept again, with the time at which it was written', async () => {
  const { clock, store, keeper, records } = await start();
  keeper.save('part:a1', CRASHES);
  await clock.advance(SHORT_MS);
  const before = store.quarantines.get('part:a1');
  expect(before).toBeDefined();
  store.lose();
  records.writeAgain(2);
  await clock.advance(SHORT_MS);
  expect(store.quarantines.get('part:a1')).toEqual(before);
});

test('a quarantine that was cleared shortly before does not come back from the copy', async () => {
  const { clock, store, keeper, records } = await start();
  keeper.save('part:a1', CRASHES);
  await clock.advance(SHORT_MS);
  const older = new Map(store.quarantines);
  keeper.save('part:a1', []);
  await clock.advance(SHORT_MS);
  older.forEach((quarantine, trait) => store.quarantines.set(trait, quarantine));
  records.writeAgain(2);
  await clock.advance(SHORT_MS);
  expect(store.quarantines.size).toBe(0);
});

test('an instance that does not write quarantines writes none again', async () => {
  const { clock, store, keeper, records } = await start({ isWriter: false });
  keeper.save('part:a1', CRASHES);
  await clock.advance(SHORT_MS);
  records.writeAgain(2);
  await clock.advance(SHORT_MS);
  expect(store.quarantines.size).toBe(0);
});
