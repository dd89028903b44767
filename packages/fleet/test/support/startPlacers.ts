import VirtualClock from '@wisteriapath/virtual-clock';
import {
  DemandAggregator,
  type DemandReport,
  type DesiredState,
  EngineContact,
  type EngineControl,
  type PlacementUpdate,
  Placer,
  TargetTable,
} from '../../src';
import FakeEngine from './FakeEngine';
import builders from './builders';

interface Options {
  /** Number of engines by failure domain, each with a placer. */
  readonly engineCounts: Readonly<Record<string, number>>;
  readonly models: readonly string[];
  /** Models that each engine holds at first. */
  readonly held: readonly string[];
  /** Models of which each engine has a copy on its disk. */
  readonly copied: readonly string[];
  /** Further models of which the engines of a failure domain have copies. */
  readonly copiedIn?: Readonly<Record<string, readonly string[]>>;
  /** Failure domains whose placers claim to be active, but never plan. */
  readonly stuck?: readonly string[];
  /** Time of a load from the weight store, with the number of such loads under way at its start, itself included. */
  readonly storeLoadMs?: (concurrency: number) => number;
}

const STORE_LOAD_MS = 6_000;
const DISK_LOAD_MS = 1_600;
/** Time until other placers know what one has decided. */
const PUBLISH_DELAY_MS = 10;
const STEP_MS = 50;
/** Real time that a step takes, as planning passes are scheduled by real timers. */
const STEP_REAL_MS = 9;

/** Starts placers of several failure domains in virtual time, which tell each other what they load. */
const startPlacers = ({
  engineCounts,
  models,
  held,
  copied,
  copiedIn = {},
  stuck = [],
  storeLoadMs = () => STORE_LOAD_MS,
}: Options) => {
  const clock = new VirtualClock();
  const domains = Object.keys(engineCounts);
  const onDiskIn = (failureDomain: string) =>
    new Set([...copied, ...(copiedIn[failureDomain] ?? [])]);
  const engines = new Map<string, FakeEngine>();
  const entries = domains.flatMap((failureDomain) =>
    Array.from({ length: engineCounts[failureDomain] }, (_, number) => {
      const id = `${failureDomain}${number}`;
      engines.set(id, new FakeEngine(clock, new Set(held)));
      return builders.target(id, held, { failureDomain, onDisk: onDiskIn(failureDomain) });
    }),
  );
  const storeLoads: { readonly model: string; readonly atMs: number }[] = [];
  const loadingFromStore = (): number =>
    [...engines.values()].filter(({ isLoading, loadMs }) => isLoading && loadMs > DISK_LOAD_MS)
      .length;
  const control: EngineControl = {
    order: (target, order) => {
      const engine = engines.get(target.id)!;
      const isNew = !engine.isLoading;
      const isFromStore = !target.onDisk.has(order.model);
      if (isNew) engine.loadMs = isFromStore ? storeLoadMs(loadingFromStore() + 1) : DISK_LOAD_MS;
      const answer = engine.order(target, order);
      if (isNew && engine.isLoading && isFromStore) {
        storeLoads.push({ model: order.model, atMs: clock.nowMs() });
      }
      return answer;
    },
    report: (target) => engines.get(target.id)!.report(),
    runs: () => Promise.resolve({ contact: EngineContact.Answered, unlisted: 0 }),
  };
  const specs = models.map((name) => ({ ...builders.model(name), diskLoadMs: DISK_LOAD_MS }));
  const engine = {
    ...builders.engineSpec(),
    models: new Map(specs.map((spec) => [spec.name, spec])),
  };
  const pool = { name: 'guides', maxConnections: 100, coldPerS: 0, engine };
  const desired = {
    version: 1,
    routes: [],
    pools: new Map([['guides', pool]]),
  } as unknown as DesiredState;
  const tables = domains.map(() => new TargetTable(clock));
  tables.forEach((table) => entries.forEach((entry) => table.applyEntry(entry)));
  const aggregators = domains.map(() => new DemandAggregator(clock));
  const publish = async (updates: readonly PlacementUpdate[]) => {
    await clock.sleep(PUBLISH_DELAY_MS);
    tables.forEach((table) => updates.forEach((update) => table.applyPlacement(update)));
  };
  const lines: string[] = [];
  const placers = domains.map(
    (failureDomain, index) =>
      new Placer(
        { failureDomain, maxConcurrentStoreLoads: 4, weightStoreWindowMs: 5_000 },
        {
          clock,
          authority: {
            isHeld: () => true,
            isHeldWithin: () => true,
            fence: 1,
            holder: 'one',
            observeFenced: () => {},
          },
          control,
          table: tables[index],
          demand: aggregators[index],
          log: { event: (name, fields) => lines.push(`${name} ${JSON.stringify(fields)}`) },
          desired: () => desired,
          publishForecast: () => {},
          activeDomains: () => domains,
          publish: (updates) => {
            void publish(updates);
          },
        },
      ),
  );
  const runs = placers
    .filter((_, index) => !stuck.includes(domains[index]))
    .map((placer) => placer.run());
  const report = (content: Partial<DemandReport>) =>
    aggregators.forEach((demand) =>
      demand.record({
        instance: 'one',
        waiting: [],
        rates: [],
        running: [],
        unreachable: [],
        ...content,
      }),
    );
  /** Advances the clock in steps, and reports the demand at the beginning of each. */
  const run = async (durationMs: number, demandAt: () => Partial<DemandReport>) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      report(demandAt());
      await clock.advance(STEP_MS);
      await new Promise((resolve) => {
        setTimeout(resolve, STEP_REAL_MS);
      });
    }
  };
  const isHeld = (model: string): boolean =>
    [...engines.values()].some((one) => one.models.has(model));
  const stop = async () => {
    placers.forEach((placer) => placer.stop());
    await clock.advance(STEP_MS);
    await Promise.all(runs);
  };
  return { clock, run, isHeld, storeLoads, lines, stop };
};

export default startPlacers;
