/** At no moment may two machines give orders, and their orders never alternate within the turn. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { Lease, type LeaseRecord, type LeaseStore } from '../src';

const TURN_MS = 3_000;

/** A store with conditional appends that can be cut off from one machine. */
class FakeStore {
  record: LeaseRecord | null = null;

  private next = 0;

  port(isCut: () => boolean): LeaseStore {
    return {
      newest: () =>
        Promise.resolve(isCut() ? undefined : { record: this.record, nextOffset: this.next }),
      append: (at, holder, released) => {
        if (isCut()) return Promise.resolve(undefined);
        if (at !== this.next) return Promise.resolve(false);
        this.record = { holder, offset: at, released };
        this.next += 1;
        return Promise.resolve(true);
      },
    };
  }
}

interface Machine {
  readonly lease: Lease;
  isCut: boolean;
  skewMs: number;
  acknowledged: { sentMs: number; sentWallMs: number } | undefined;
}

const start = (names: readonly string[]) => {
  const clock = new VirtualClock();
  const store = new FakeStore();
  const orders: { machine: string; atMs: number }[] = [];
  const machines = new Map<string, Machine>();
  names.forEach((name, rank) => {
    const machine = { isCut: false, skewMs: 0, acknowledged: undefined } as unknown as Machine;
    const lease = new Lease(
      { machine: name, incarnation: '1', handoverDelayMs: TURN_MS },
      {
        clock,
        wallClock: () => 1_000_000 + clock.nowMs() + machine.skewMs,
        store: store.port(() => machine.isCut),
        log: { event: () => {} },
        acknowledgedHeartbeat: () => machine.acknowledged,
        rank: () => rank,
      },
    );
    Object.assign(machine, { lease });
    machines.set(name, machine);
    void lease.run();
  });
  /** Moves on; machines that hear each other pass on who holds the lease. */
  const run = async (durationMs: number, hear = true) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      await clock.advance(50);
      machines.forEach(({ lease }, name) => {
        if (lease.isHeld()) orders.push({ machine: name, atMs: clock.nowMs() });
        if (!hear || !lease.isCurrent) return;
        machines.forEach((other, otherName) => {
          if (otherName !== name) other.lease.heard(lease.offset);
        });
      });
    }
  };
  /** Least time between orders of different machines. */
  const leastTurnMs = () =>
    Math.min(
      Infinity,
      ...orders.slice(1).map((order, index) => {
        const before = orders[index];
        return before.machine === order.machine ? Infinity : order.atMs - before.atMs;
      }),
    );
  const holders = () => [...new Set(orders.map(({ machine }) => machine))];
  return { clock, machines, run, leastTurnMs, holders };
};

describe('the lease to give orders', () => {
  test('is taken by one machine at once where none had it', async () => {
    const { run, holders } = start(['one', 'two', 'three']);
    await run(3_000);
    expect(holders()).toEqual(['one']);
  });

  test('passes on after the turn when its holder is cut off from store and peers', async () => {
    const { machines, run, leastTurnMs, holders } = start(['one', 'two']);
    await run(3_000);
    machines.get('one')!.isCut = true;
    await run(9_000, false);
    expect(holders()).toEqual(['one', 'two']);
    expect(leastTurnMs()).toBeGreaterThanOrEqual(TURN_MS);
  });

  test('ends for a holder that was suspended as its renewal was answered', async () => {
    const { machines, run } = start(['one', 'two']);
    await run(3_000);
    const one = machines.get('one')!;
    // The monotonic clock stood still for five seconds, the time of day did not.
    one.skewMs = 5_000;
    expect(one.lease.isHeld()).toBe(false);
  });

  test('goes on without the store while every peer hears the holder', async () => {
    const { clock, machines, run, holders } = start(['one', 'two']);
    await run(3_000);
    const one = machines.get('one')!;
    machines.forEach((machine) => {
      Object.assign(machine, { isCut: true });
    });
    for (let passedMs = 0; passedMs < 6_000; passedMs += 200) {
      one.acknowledged = { sentMs: clock.nowMs(), sentWallMs: 1_000_000 + clock.nowMs() };
      await run(200);
      expect(one.lease.isHeld()).toBe(true);
    }
    expect(holders()).toEqual(['one']);
  });

  test('a successor counts from when it last heard a holder that lived on its peers', async () => {
    const { clock, machines, run, leastTurnMs, holders } = start(['one', 'two']);
    await run(3_000);
    const one = machines.get('one')!;
    one.isCut = true;
    for (let passedMs = 0; passedMs < 4_000; passedMs += 200) {
      one.acknowledged = { sentMs: clock.nowMs(), sentWallMs: 1_000_000 + clock.nowMs() };
      await run(200);
    }
    one.acknowledged = undefined;
    await run(9_000, false);
    expect(holders()).toEqual(['one', 'two']);
    expect(leastTurnMs()).toBeGreaterThanOrEqual(TURN_MS);
  });
});
