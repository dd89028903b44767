import VirtualClock from '@wisteriapath/virtual-clock';
import ModelRates from '@wisteriapath/edge/src/ModelRates';
import {
  DemandAggregator,
  type DesiredState,
  EngineContact,
  type EngineControl,
  type LoadForecast,
  type PathRoute,
  type PlacementUpdate,
  Placer,
  shortestLoad,
  TargetTable,
  WaitingRequests,
} from '../../src';
import FakeEngine from './FakeEngine';
import builders from './builders';

/** A kind of requests, with what their callers need. */
interface Kind {
  readonly priority: number;
  readonly latencyTargetMs: number;
  /** Time after which a caller leaves that has got nothing. */
  readonly leavesAfterMs: number;
  readonly deadlineMs: number;
  /** Time for which a request runs at an engine. */
  readonly runMs: number;
}

interface Options {
  /** Whether the routes make the pool a deferring one; otherwise models are ranked as in all other pools. */
  readonly isDeferring: boolean;
  readonly seed: number;
  /** Factor of the arrivals; 1 is as measured. */
  readonly rateFactor?: number;
  /** Whether requests are refused early by the forecasts of the placers. */
  readonly usesForecasts?: boolean;
}

interface Caller {
  readonly kind: Kind;
  readonly model: string;
  readonly arrivedMs: number;
  readonly stopWaiting: () => void;
}

interface Run {
  readonly engine: string;
  readonly model: string;
  readonly untilMs: number;
}

/** What became of the callers of one kind. */
interface Outcome {
  arrived: number;
  inTime: number;
  late: number;
  /** All that got no answer, also those that were refused early. */
  refused: number;
  refusedEarly: number;
  /** Time that the refused had waited, in total. */
  refusedWaitMs: number;
}

const NO_OUTCOME: Outcome = {
  arrived: 0,
  inTime: 0,
  late: 0,
  refused: 0,
  refusedEarly: 0,
  refusedWaitMs: 0,
};

const URGENT: Kind = {
  priority: 0,
  latencyTargetMs: 502,
  leavesAfterMs: 2_000,
  deadlineMs: 17_000,
  runMs: 1_100,
};
const DRAFT: Kind = {
  priority: 2,
  latencyTargetMs: 5_002,
  leavesAfterMs: 17_000,
  deadlineMs: 17_000,
  runMs: 1_100,
};

/** A fifth of deployment V of docs/design/hard-load.md: 12 engines with room for 3 models each, and 64 models. */
const DOMAINS = ['a', 'b', 'c'];
const ENGINES_PER_DOMAIN = 4;
const MODELS = Array.from({ length: 64 }, (_, number) => `m${number}`);
/** Every so many engines have a copy of a model. */
const COPY_INTERVAL = 2;
const COPY_LOAD_MS = 760;
const STORE_LOAD_MS = 10_200;
const UNLOAD_MS = 88;
/** Urgent requests arrive for all models, by rank. */
const URGENT_PER_S = 24;
const DRAFTS_PER_S = 7;
const DURATION_MS = 24_000;
/** Time for which drafts double, on models that were idle. */
const BURST_MS = { from: 8_000, until: 14_000 };
/** Models at the end of the ranking, which are asked for hardly at all outside the burst. */
const IDLE_MODELS = MODELS.slice(40);
const STEP_MS = 10;
const REPORT_INTERVAL_MS = 100;
const PUBLISH_DELAY_MS = 10;
/** Time before a caller leaves at which it is refused. */
const REFUSAL_MARGIN_MS = 60;

/** Returns a generator of numbers between 0 and 1 (mulberry32). */
const createRandom = (seed: number) => {
  let state = seed;
  /* eslint-disable no-bitwise -- the generator mixes bits */
  return (): number => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
  /* eslint-enable no-bitwise */
};

const engineNames = DOMAINS.flatMap((domain) =>
  Array.from({ length: ENGINES_PER_DOMAIN }, (_, number) => `${domain}${number}`),
);

/** Creates engines that hold the most popular models, and of which each has copies of half of all models. */
const createEngines = (clock: VirtualClock) => {
  const engines = new Map<string, FakeEngine>();
  const entries = engineNames.map((id, index) => {
    const onDisk = MODELS.filter((_, number) => (number + index) % COPY_INTERVAL === 0);
    const held = onDisk.slice(0, 12).filter((_, number) => number % 4 === Math.floor(index / 3));
    const engine = new FakeEngine(clock, new Set(held));
    engine.unloadMs = UNLOAD_MS;
    engines.set(id, engine);
    return builders.target(id, held, { failureDomain: id[0], onDisk: new Set(onDisk) });
  });
  return { engines, entries };
};

const createState = (isDeferring: boolean): DesiredState => {
  const times = {
    storeLoadMs: STORE_LOAD_MS,
    diskLoadMs: COPY_LOAD_MS,
    memoryLoadMs: COPY_LOAD_MS,
  };
  const models = new Map(MODELS.map((name) => [name, { ...builders.model(name), ...times }]));
  const engine = { ...builders.engineSpec(), models };
  const pool = { name: 'guides', maxConnections: 100, coldPerS: 0, engine };
  const pools = [{ name: 'guides', weight: 1 }];
  const routes = [URGENT, DRAFT].map((kind) => ({ ...kind, pools }) as unknown as PathRoute);
  return {
    version: 1,
    routes: isDeferring ? routes : [],
    pools: new Map([['guides', pool]]),
  } as unknown as DesiredState;
};

/**
 * Plays a burst of drafts on models that were idle, beside urgent requests, against placers in virtual time. Returns what became of
 * the callers and of the loads. The clock of the test framework must be a fake one, as planning passes are scheduled by timers.
 */
const playHardLoad = async ({
  isDeferring,
  seed,
  rateFactor = 1,
  usesForecasts = false,
}: Options) => {
  const clock = new VirtualClock();
  const random = createRandom(seed);
  const { engines, entries } = createEngines(clock);
  const desired = createState(isDeferring);
  const tables = DOMAINS.map(() => new TargetTable(clock));
  tables.forEach((table) => entries.forEach((entry) => table.applyEntry(entry)));
  const aggregators = DOMAINS.map(() => new DemandAggregator(clock));
  let loads = 0;
  const control: EngineControl = {
    order: (target, order) => {
      const engine = engines.get(target.id)!;
      const hasCopy = entries.find(({ id }) => id === target.id)!.onDisk.has(order.model);
      if (!engine.isLoading) engine.loadMs = hasCopy ? COPY_LOAD_MS : STORE_LOAD_MS;
      return engine.order(target, order);
    },
    report: (target) => engines.get(target.id)!.report(),
    runs: () => Promise.resolve({ contact: EngineContact.Answered, unlisted: 0 }),
  };
  const publish = async (updates: readonly PlacementUpdate[]) => {
    await clock.sleep(PUBLISH_DELAY_MS);
    tables.forEach((table) => updates.forEach((update) => table.applyPlacement(update)));
  };
  const publishForecast = async (forecast: LoadForecast) => {
    await clock.sleep(PUBLISH_DELAY_MS);
    tables[0].forecasts.record(forecast);
  };
  const placers = DOMAINS.map(
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
          log: {
            event: (name) => {
              if (name === 'load_decided') loads += 1;
            },
          },
          desired: () => desired,
          publishForecast: (forecast) => {
            void publishForecast(forecast);
          },
          activeDomains: () => DOMAINS,
          publish: (updates) => {
            void publish(updates);
          },
        },
      ),
  );
  placers.forEach((placer) => {
    void placer.run();
  });
  const rates = new ModelRates(clock);
  const waiting = new WaitingRequests(clock, () => {});
  const outcomes = new Map<Kind, Outcome>([URGENT, DRAFT].map((kind) => [kind, { ...NO_OUTCOME }]));
  let callers: Caller[] = [];
  let runs: Run[] = [];

  const arrive = (kind: Kind, model: string): void => {
    const arrivedMs = clock.nowMs();
    outcomes.get(kind)!.arrived += 1;
    rates.record('guides', model, null, kind === DRAFT);
    const { latencyTargetMs, priority } = kind;
    const spec = desired.pools.get('guides')!.engine!.models.get(model)!;
    const loadMs = () => shortestLoad(tables[0].inService('guides'), spec, clock.nowMs()).ms;
    const order = { priority, leavesAtMs: arrivedMs + kind.leavesAfterMs, loadMs };
    const isHeld = [...engines.values()].some((engine) => engine.models.has(model));
    const stopWaiting = isHeld
      ? () => {}
      : waiting.add(
          { pool: 'guides', model, adapter: null },
          {
            latencyTargetMs,
            deadlineAtMs: arrivedMs + kind.deadlineMs,
            ...(isDeferring ? { order } : {}),
          },
        );
    callers.push({ kind, model, arrivedMs, stopWaiting });
  };

  /** Draws a model by rank, so that the first are asked for most. */
  const drawModel = (): string => MODELS[Math.floor(MODELS.length * random() ** 2.5)];

  const drawArrivals = (): void => {
    const nowMs = clock.nowMs();
    const isBurst = nowMs >= BURST_MS.from && nowMs < BURST_MS.until;
    const isDrawn = (perS: number) => random() < (perS * rateFactor * STEP_MS) / 1_000;
    if (isDrawn(URGENT_PER_S)) arrive(URGENT, drawModel());
    if (isDrawn(DRAFTS_PER_S)) arrive(DRAFT, drawModel());
    if (isBurst && isDrawn(DRAFTS_PER_S)) {
      arrive(DRAFT, IDLE_MODELS[Math.floor(random() * IDLE_MODELS.length)]);
    }
  };

  /** Whether a placer expects the load of a model later than a caller waits. */
  const isExpectedTooLate = (model: string, leftMs: number): boolean =>
    usesForecasts &&
    !tables[0].inService('guides').some(({ loading }) => loading === model) &&
    (tables[0].forecasts.readyInMs('guides', model) ?? 0) > leftMs;

  const settle = (): void => {
    const nowMs = clock.nowMs();
    runs = runs.filter(({ untilMs }) => untilMs > nowMs);
    callers = callers.filter(({ kind, model, arrivedMs, stopWaiting }) => {
      const outcome = outcomes.get(kind)!;
      const waitedMs = nowMs - arrivedMs;
      const holder = [...engines].find(([, engine]) => engine.models.has(model));
      if (holder !== undefined) {
        outcome[waitedMs <= kind.latencyTargetMs ? 'inTime' : 'late'] += 1;
        runs.push({ engine: holder[0], model, untilMs: nowMs + kind.runMs });
      } else {
        const leftMs = kind.leavesAfterMs - REFUSAL_MARGIN_MS - waitedMs;
        const isEarly = leftMs > 0 && isExpectedTooLate(model, leftMs);
        if (leftMs > 0 && !isEarly) return true;
        outcome.refused += 1;
        outcome.refusedWaitMs += waitedMs;
        if (isEarly) outcome.refusedEarly += 1;
      }
      stopWaiting();
      return false;
    });
  };

  const running = () => {
    const counts = new Map<string, [string, string, string, number]>();
    runs.forEach(({ engine, model }) => {
      const key = `${engine}/${model}`;
      const count = counts.get(key) ?? [engine, model, '', 0];
      count[3] += 1;
      counts.set(key, count);
    });
    return [...counts.values()];
  };

  const report = (): void =>
    aggregators.forEach((aggregator) =>
      aggregator.record({
        instance: 'one',
        waiting: waiting.demands,
        rates: rates.all,
        deferrableRates: rates.deferrable,
        running: running(),
        unreachable: [],
      }),
    );

  const endMs = DURATION_MS + DRAFT.leavesAfterMs;
  for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    if (nowMs < DURATION_MS) drawArrivals();
    settle();
    if (nowMs % REPORT_INTERVAL_MS === 0) report();
    await clock.advance(STEP_MS);
    jest.advanceTimersByTime(STEP_MS);
  }
  placers.forEach((placer) => placer.stop());
  await clock.advance(STEP_MS);
  return { urgent: outcomes.get(URGENT)!, drafts: outcomes.get(DRAFT)!, loads };
};

export default playHardLoad;
