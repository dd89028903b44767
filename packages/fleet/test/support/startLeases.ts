import VirtualClock from '@wisteriapath/virtual-clock';
import { Lease } from '../../src';
import FakeLeaseStore from './FakeLeaseStore';

interface Options {
  readonly names: readonly string[];
  readonly handoverDelayMs: number;
}

interface Machine {
  lease: Lease;
  /** Whether its calls to the store are neither carried out nor answered. */
  isUnreachable: boolean;
  losesAppendAnswers: boolean;
  holdsAppends: boolean;
  /** Whether no heartbeat of it arrives, nor any at it. */
  isSilent: boolean;
  isStopped: boolean;
  /** By how much its time of day is ahead of its monotonic clock. */
  skewMs: number;
}

interface Order {
  readonly machine: string;
  readonly fence: number;
  readonly atMs: number;
}

const TICK_MS = 50;
const EPOCH_MS = 1_000_000;

/** Starts leases of several machines in virtual time, in the order of their ranks, with one store. */
const startLeases = ({ names, handoverDelayMs }: Options) => {
  const clock = new VirtualClock();
  const store = new FakeLeaseStore();
  const orders: Order[] = [];
  const machines = new Map<string, Machine>();
  const nowOf = (machine: Machine) => ({
    sentMs: clock.nowMs(),
    sentWallMs: EPOCH_MS + clock.nowMs() + machine.skewMs,
  });
  const contacts = new Map<Machine, ReturnType<typeof nowOf>>();

  const startLease = (name: string, incarnation: string, machine: Machine): Lease => {
    const lease = new Lease(
      { machine: name, incarnation, handoverDelayMs },
      {
        clock,
        wallClock: () => nowOf(machine).sentWallMs,
        store: store.port(machine),
        log: { event: () => {} },
        lastContact: () => contacts.get(machine),
        rank: () => names.indexOf(name),
      },
    );
    void lease.run();
    return lease;
  };

  const addMachine = (name: string): void => {
    const machine = {
      isUnreachable: false,
      losesAppendAnswers: false,
      holdsAppends: false,
      isSilent: false,
      isStopped: false,
      skewMs: 0,
    } as Machine;
    machine.lease = startLease(name, '1', machine);
    machines.set(name, machine);
  };
  names.forEach(addMachine);

  const of = (name: string): Machine => machines.get(name)!;

  /** Lets the heartbeats of a holder arrive; one that all others hear has contact. */
  const exchangeHeartbeats = (holder: Machine): void => {
    const { lease } = holder;
    if (!lease.isCurrent || holder.isSilent) return;
    const { position } = lease;
    const others = [...machines.values()].filter((one) => one !== holder && !one.isStopped);
    const hearing = others.filter(({ isSilent }) => !isSilent);
    hearing.forEach((other) => other.lease.observeHolder(position!));
    if (hearing.length === others.length) contacts.set(holder, nowOf(holder));
  };

  /** Advances the clock; each machine that may gives an order at each tick. */
  const run = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
      await clock.advance(TICK_MS);
      machines.forEach(({ lease }, machine) => {
        if (lease.isHeld()) orders.push({ machine, fence: lease.fence, atMs: clock.nowMs() });
      });
      machines.forEach(exchangeHeartbeats);
    }
  };

  const stop = async (name: string): Promise<void> => {
    of(name).isStopped = true;
    await of(name).lease.stop();
  };

  /** Replaces the process of a machine, which releases nothing, by a new one. */
  const restart = (name: string, incarnation: string): void => {
    const machine = of(name);
    const old = machine.lease;
    const { isUnreachable } = machine;
    machine.isUnreachable = true;
    void old.stop();
    machine.isUnreachable = isUnreachable;
    machine.lease = startLease(name, incarnation, machine);
  };

  /** What is wrong with the orders given so far; empty if nothing is. */
  const faults = (): readonly string[] =>
    orders.flatMap((order, index) => {
      const before = orders[index - 1];
      if (before === undefined) return [];
      const { machine, fence, atMs } = order;
      const found: string[] = [];
      if (fence < before.fence) found.push(`fence fell from ${before.fence} to ${fence}`);
      if (machine === before.machine) return found;
      if (fence === before.fence) found.push(`fence ${fence} of ${before.machine} and ${machine}`);
      const gapMs = atMs - before.atMs;
      if (gapMs < handoverDelayMs) {
        found.push(`${machine} orders ${gapMs} ms after ${before.machine}`);
      }
      return found;
    });

  const holders = () => [...new Set(orders.map(({ machine }) => machine))];
  return { clock, store, of, orders, run, stop, restart, faults, holders };
};

export default startLeases;
