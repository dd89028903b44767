import VirtualClock from '@wisteriapath/virtual-clock';
import { DemandAggregator, type DesiredState, EngineScaler, TargetTable } from '../../src';
import DutyAnswer from '../../src/DutyAnswer';
import type DutyAuthority from '../../src/DutyAuthority';
import type ScalingSpec from '../../src/ScalingSpec';
import builders from './builders';

interface Call {
  readonly atMs: number;
  readonly pool: string;
  readonly failureDomain: string;
  readonly count: number;
  readonly holder: string;
  readonly fence: number;
  readonly isHeld: DutyAuthority['isHeld'];
}

const MODELS = ['a', 'b', 'c'];
const SLOTS = 16;
const STEP_MS = 250;
const INSTANCES = ['one', 'two', 'three'];
const BOOT_MS = 8_000;

interface Options {
  readonly maxCallsPerS?: number;
  readonly scaling?: ScalingSpec | null;
}

/** Starts the scaling of the pool `guides` in the failure domain `a`, in virtual time, with as many engines as asked for. */
const startScaler = (engineCount: number, more: Options = {}) => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  const demand = new DemandAggregator(clock);
  const lines: string[] = [];
  const calls: Call[] = [];
  const state = {
    isHeld: true,
    fence: 7,
    isStoreReachable: true,
    viewAgeMs: 100,
    reporting: INSTANCES,
    answer: (): DutyAnswer => DutyAnswer.Accepted,
    answerAfterMs: 20,
    scaling: 'scaling' in more ? more.scaling : { min: 2, max: 12, bootMs: BOOT_MS },
    pools: ['guides'],
    /** Requests that run, over all engines. */
    busy: 0,
    activeDomains: ['a', 'b'],
  };
  let entryNumber = 1;
  const engineIds: string[] = [];
  const register = (id: string, isLeaving = false, failureDomain = 'a', pool = 'guides') => {
    entryNumber += 1;
    const onDisk = new Set(MODELS);
    table.applyEntry(
      builders.target(id, ['a'], {
        entryNumber,
        isLeaving,
        failureDomain,
        pool,
        onDisk,
        slots: SLOTS,
      }),
    );
  };
  const addEngines = (count: number, pool = 'guides') => {
    for (let added = 0; added < count; added += 1) {
      const id = `engine-${engineIds.length}`;
      engineIds.push(id);
      register(id, false, 'a', pool);
    }
  };
  addEngines(engineCount);
  register('elsewhere-1', false, 'b');
  register('elsewhere-2', false, 'b');
  const desired = (): DesiredState => {
    const engine = builders.engineSpec(...MODELS);
    const pools = state.pools.map((name) => {
      const pool = { name, maxConnections: 100, coldPerS: 0, engine, scaling: state.scaling };
      return [name, pool] as const;
    });
    return { version: 1, pools: new Map(pools) } as unknown as DesiredState;
  };
  const scaler = new EngineScaler(
    { failureDomain: 'a', maxCallsPerS: more.maxCallsPerS ?? 10 },
    {
      clock,
      authority: {
        isHeld: () => state.isHeld,
        isHeldWithin: () => state.isHeld,
        get fence() {
          return state.fence;
        },
        holder: 'machine-1',
        observeFenced: () => {},
      },
      api: {
        orderCapacity: async (authority, order) => {
          calls.push({ ...authority, ...order, atMs: clock.nowMs() });
          await clock.sleep(state.answerAfterMs);
          return state.answer();
        },
      },
      table,
      demand,
      log: { event: (name, fields) => lines.push(`${name} ${JSON.stringify(fields)}`) },
      desired,
      viewAgeMs: () => state.viewAgeMs,
      isStoreReachable: () => state.isStoreReachable,
      instances: () => state.reporting.length,
      activeDomains: () => state.activeDomains,
      onAnswer: () => {},
    },
  );
  const report = () => {
    const ready = table.inService('guides').filter(({ entry }) => entry.failureDomain === 'a');
    const each = state.busy / Math.max(1, ready.length) / state.reporting.length;
    state.reporting.forEach((instance) =>
      demand.record({
        instance,
        waiting: [],
        rates: [['guides', 'a', '', 5]],
        running: ready.map(({ entry }) => [entry.id, 'a', '', each] as const),
        unreachable: [],
      }),
    );
  };
  /** Lets time pass while all instances report the same demand. */
  const run = async (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      report();
      await clock.advance(STEP_MS);
    }
  };
  void scaler.run();
  return {
    clock,
    table,
    state,
    calls,
    lines,
    run,
    addEngines,
    register,
    engineIds,
    counts: () => calls.map(({ count }) => count),
    linesOf: (name: string) => lines.filter((line) => line.startsWith(`${name} `)),
    stop: async () => {
      scaler.stop();
      await clock.advance(STEP_MS);
    },
  };
};

export default startScaler;
