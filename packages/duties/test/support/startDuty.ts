import { type DutyKind, Lease, type LeaseContent, type LeaseStore } from '@wisteriapath/fleet';
import VirtualClock from '@wisteriapath/virtual-clock';
import {
  TrueTime,
  UsageCollector,
  type UsageJournal,
  UsageReporter,
  usageMessages,
} from '../../src';
import DutyApiStandIn from './DutyApiStandIn';

const EPOCH_MS = 1_767_225_600_000;
const WINDOW_MS = 5_000;
const STEP_MS = 50;
const NEVER = new Promise<never>(() => {});

interface StoredRecord {
  readonly key: string;
  readonly value: string;
}

/** What is wrong with one machine. */
interface Faults {
  isKilled: boolean;
  isFrozen: boolean;
  /** Whether the store does not get its calls. */
  isStoreCut: boolean;
  /** Whether the store carries out its appends, and the answers are lost. */
  losesAnswers: boolean;
  /** Whether it neither hears its peers nor is heard. */
  isPeerCut: boolean;
  /** Whether the duty interface does not get its calls. */
  isApiCut: boolean;
  /** Whether it is frozen while it opens the connection of its next call to the interface. */
  isFrozenInCall: boolean;
  /** Called when a decision was stored, before its writer learns of it. */
  onDecision: () => void;
}

interface Machine {
  readonly name: string;
  readonly lease: Lease;
  readonly reporter: UsageReporter;
  readonly collector: UsageCollector;
  readonly faults: Faults;
  readonly time: TrueTime;
}

/** Starts candidates for the usage duty on a virtual clock, with a store, an interface and instances that count requests. */
const startDuty = (names: readonly string[]) => {
  const clock = new VirtualClock();
  const api = new DutyApiStandIn(() => clock.nowMs());
  const log: string[] = [];
  const store = { records: [] as StoredRecord[], era: 1, eraSinceMs: 50 };
  const machines: Machine[] = [];
  const windowAt = (nowMs: number) => Math.floor((EPOCH_MS + nowMs) / WINDOW_MS);
  const firstWindow = windowAt(0);
  /** Instances that are live, and those that send counts. */
  const instances = { live: ['i-1', 'i-2'], counting: ['i-1', 'i-2'] };

  const startMachine = (name: string, rank: number, incarnation = '1') => {
    const faults: Faults = {
      isKilled: false,
      isFrozen: false,
      isStoreCut: false,
      losesAnswers: false,
      isPeerCut: false,
      isApiCut: false,
      isFrozenInCall: false,
      onDecision: () => {},
    };
    /** Resolves when the process runs; never once it is killed. */
    const running = async () => {
      while (faults.isFrozen) await clock.sleep(10);
      if (faults.isKilled) await NEVER;
    };
    const machineClock = {
      nowMs: () => clock.nowMs(),
      sleep: async (durationMs: number) => {
        await clock.sleep(durationMs);
        await running();
      },
    };
    const readNewest = (key: string) => {
      const offset = store.records.findLastIndex((record) => record.key === key);
      return offset < 0 ? null : { ...(JSON.parse(store.records[offset].value) as object), offset };
    };
    const append = async (at: { era: number; offset: number }, key: string, content: object) => {
      await running();
      if (faults.isStoreCut) return undefined;
      await clock.sleep(5);
      const isAppended = at.offset === store.records.length;
      const value = JSON.stringify({ ...content, writtenInEra: at.era });
      if (isAppended) store.records.push({ key, value });
      if (isAppended && key.startsWith('window')) faults.onDecision();
      await running();
      return faults.losesAnswers ? undefined : { isAppended, era: store.era };
    };
    const leaseStore: LeaseStore = {
      newest: async () => {
        await running();
        if (faults.isStoreCut) return undefined;
        const record = readNewest('lease') as never;
        return { era: store.era, record, nextOffset: store.records.length };
      },
      append: (at, content: LeaseContent) => append(at, 'lease', content),
    };
    const journal: UsageJournal = {
      read: async () => {
        await running();
        if (faults.isStoreCut) return undefined;
        const keys = [...new Set(store.records.map(({ key }) => key))];
        const decisions = keys
          .filter((key) => key.startsWith('window'))
          .map((key) => readNewest(key) as never);
        const { era, eraSinceMs } = store;
        return { era, eraSinceMs, mark: readNewest('era') as never, decisions };
      },
      appendDecision: (at, decision) => append(at, `window-${decision.window % 16}`, decision),
      appendMark: (at, mark) => append(at, 'era', mark),
    };
    const eventLog = {
      event: (event: string, fields: object) =>
        log.push(`${name} ${event} ${JSON.stringify(fields)}`),
    };
    const lease = new Lease(
      { machine: name, incarnation, handoverDelayMs: 3_000 },
      {
        clock: machineClock,
        wallClock: () => EPOCH_MS + clock.nowMs(),
        store: leaseStore,
        log: eventLog,
        lastContact: () => undefined,
        rank: () => rank,
      },
    );
    const time = new TrueTime(clock);
    const collector = new UsageCollector();
    const reporter = new UsageReporter({
      clock: machineClock,
      log: eventLog,
      options: {
        kinds: ['usage' as DutyKind],
        maxCallsPerS: 2,
        usageWindowMs: WINDOW_MS,
        usageTolerance: 0.05,
        usageDueMs: 10_000,
      },
      lease,
      journal,
      api: api.port(async () => {
        if (faults.isFrozenInCall) Object.assign(faults, { isFrozen: true, isFrozenInCall: false });
        await running();
        await clock.sleep(5);
        await running();
        return !faults.isApiCut;
      }),
      time,
      collector,
      liveInstances: () =>
        faults.isPeerCut ? undefined : instances.live.map((instance) => `${instance}#1`),
    });
    const machine = { name, lease, reporter, collector, faults, time };
    machines.push(machine);
    void lease.run();
    void reporter.run();
    return machine;
  };
  names.forEach((name, rank) => startMachine(name, rank));

  /** Delivers what passes between instances and machines. */
  const deliver = () => {
    const nowMs = EPOCH_MS + clock.nowMs();
    const isUp = ({ faults }: Machine) => !faults.isKilled && !faults.isFrozen;
    machines.filter(isUp).forEach((machine) => {
      machine.time.observePeer({ lowMs: nowMs - 2, highMs: nowMs + 2 });
      if (!machine.lease.isCurrent || machine.faults.isPeerCut) return;
      machines
        .filter((other) => other !== machine && isUp(other) && !other.faults.isPeerCut)
        .forEach((other) => other.lease.observeHolder(machine.lease.position!));
      const current = windowAt(clock.nowMs());
      for (let window = Math.max(firstWindow, current - 6); window < current; window += 1) {
        instances.counting.forEach((instance, index) => {
          const counts = new Map([['a', (window % 7) + index]]);
          usageMessages({ instance, incarnation: '1', window }, counts).forEach((message) =>
            machine.collector.merge(message),
          );
        });
      }
    });
  };
  const run = async (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      await clock.advance(STEP_MS);
      deliver();
    }
  };
  return {
    clock,
    api,
    log,
    store,
    machines,
    instances,
    run,
    startMachine,
    /** Names of the events that were logged, without renewals of the lease. */
    events: (event: string) => log.filter((line) => line.split(' ')[1] === event),
    /** Numbers of the windows that were received, counted from the first one. */
    receivedWindows: () =>
      [...api.windows.keys()].map((window) => window - firstWindow).sort((a, b) => a - b),
    /** Returns the calls of all that the interface got, without those that repeat. */
    contents: () =>
      Object.fromEntries([...api.windows].map(([window, text]) => [window - firstWindow, text])),
  };
};

export default startDuty;
