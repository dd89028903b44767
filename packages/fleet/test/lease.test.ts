/**
 * Two machines never hold the authority to give orders at once, and the handover delay passes
 * between the orders of one and the orders of the next.
 */
import VirtualClock from '@wisteriapath/virtual-clock';
import { Lease } from '../src';
import FakeLeaseStore from './support/FakeLeaseStore';

const HANDOVER_DELAY_MS = 3_000;

interface Machine {
  readonly lease: Lease;
  isUnreachable: boolean;
  losesAppendAnswers: boolean;
  holdsAppends: boolean;
  skewMs: number;
  acknowledged: { sentMs: number; sentWallMs: number } | undefined;
}

const start = (names: readonly string[]) => {
  const clock = new VirtualClock();
  const store = new FakeLeaseStore();
  const orders: { machine: string; atMs: number }[] = [];
  const machines = new Map<string, Machine>();
  names.forEach((name, rank) => {
    const machine = {
      isUnreachable: false,
      losesAppendAnswers: false,
      holdsAppends: false,
      skewMs: 0,
      acknowledged: undefined,
    } as unknown as Machine;
    const lease = new Lease(
      { machine: name, incarnation: '1', handoverDelayMs: HANDOVER_DELAY_MS },
      {
        clock,
        wallClock: () => 1_000_000 + clock.nowMs() + machine.skewMs,
        store: store.port(machine),
        log: { event: () => {} },
        lastContact: () => machine.acknowledged,
        rank: () => rank,
      },
    );
    Object.assign(machine, { lease });
    machines.set(name, machine);
    void lease.run();
  });
  /**
   * Advances the clock; unless `isConnected` is false, the holder's heartbeats reach the others.
   */
  const run = async (durationMs: number, isConnected = true) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      await clock.advance(50);
      machines.forEach(({ lease }, name) => {
        if (lease.isHeld()) orders.push({ machine: name, atMs: clock.nowMs() });
        if (!isConnected || !lease.isCurrent) return;
        machines.forEach((other, otherName) => {
          if (otherName !== name) other.lease.observeHolder(lease.position!);
        });
      });
    }
  };
  /** Returns the least time between consecutive orders of different machines. */
  const minHandoverMs = () =>
    Math.min(
      Infinity,
      ...orders.slice(1).map((order, index) => {
        const before = orders[index];
        return before.machine === order.machine ? Infinity : order.atMs - before.atMs;
      }),
    );
  const holders = () => [...new Set(orders.map(({ machine }) => machine))];
  return { clock, machines, run, minHandoverMs, holders };
};

describe('the lease to give orders', () => {
  test('is taken by exactly one machine, without a handover delay, if none held it', async () => {
    const { run, holders } = start(['one', 'two', 'three']);
    await run(3_000);
    expect(holders()).toEqual(['one']);
  });

  test('passes on after the handover delay when its holder is cut off from store and peers', async () => {
    const { machines, run, minHandoverMs, holders } = start(['one', 'two']);
    await run(3_000);
    machines.get('one')!.isUnreachable = true;
    await run(9_000, false);
    expect(holders()).toEqual(['one', 'two']);
    expect(minHandoverMs()).toBeGreaterThanOrEqual(HANDOVER_DELAY_MS);
  });

  test('ends for a holder that was suspended while its renewal was answered', async () => {
    const { machines, run } = start(['one', 'two']);
    await run(3_000);
    const one = machines.get('one')!;
    // The time of day advances by five seconds, the monotonic clock does not.
    one.skewMs = 5_000;
    expect(one.lease.isHeld()).toBe(false);
  });

  test('lasts without the store while every peer acknowledges the holder', async () => {
    const { clock, machines, run, holders } = start(['one', 'two']);
    await run(3_000);
    const one = machines.get('one')!;
    machines.forEach((machine) => {
      Object.assign(machine, { isUnreachable: true });
    });
    for (let passedMs = 0; passedMs < 6_000; passedMs += 200) {
      one.acknowledged = { sentMs: clock.nowMs(), sentWallMs: 1_000_000 + clock.nowMs() };
      await run(200);
      expect(one.lease.isHeld()).toBe(true);
    }
    expect(holders()).toEqual(['one']);
  });

  test('a successor waits from the last heartbeat of a holder that could not reach the store', async () => {
    const { clock, machines, run, minHandoverMs, holders } = start(['one', 'two']);
    await run(3_000);
    const one = machines.get('one')!;
    one.isUnreachable = true;
    for (let passedMs = 0; passedMs < 4_000; passedMs += 200) {
      one.acknowledged = { sentMs: clock.nowMs(), sentWallMs: 1_000_000 + clock.nowMs() };
      await run(200);
    }
    one.acknowledged = undefined;
    await run(9_000, false);
    expect(holders()).toEqual(['one', 'two']);
    expect(minHandoverMs()).toBeGreaterThanOrEqual(HANDOVER_DELAY_MS);
  });
});
