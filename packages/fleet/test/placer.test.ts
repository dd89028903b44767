/** Guards that the placer gives an engine one change at a time, and never more models than its memory holds. */
import VirtualClock from '@wisteriapath/virtual-clock';
import {
  type DesiredState,
  DemandAggregator,
  EngineContact,
  type EngineControl,
  OrderKind,
  Placer,
  type DemandReport,
  TargetTable,
} from '../src';
import FakeEngine from './support/FakeEngine';
import builders from './support/builders';

const MODELS = ['a', 'b', 'c', 'd', 'e', 'f'];

const start = (engineCount: number, loadMs = 500, copied: readonly string[] = MODELS) => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  const engines = new Map<string, FakeEngine>();
  const onDisk = new Set(copied);
  for (let number = 0; number < engineCount; number += 1) {
    const id = `engine-${number}`;
    const models = MODELS.slice(0, 3);
    const engine = new FakeEngine(clock, new Set(models));
    engine.loadMs = loadMs;
    engines.set(id, engine);
    table.applyEntry(builders.target(id, models, { onDisk }));
  }
  const control: EngineControl = {
    order: (target, order) => engines.get(target.id)!.order(target, order),
    report: (target) => engines.get(target.id)!.report(),
    runs: () => Promise.resolve({ contact: EngineContact.Answered, unlisted: 0 }),
  };
  const demand = new DemandAggregator(clock);
  const engine = builders.engineSpec(...MODELS);
  const pool = { name: 'guides', maxConnections: 100, coldPerS: 0, engine };
  let isHeld = true;
  const desired = {
    version: 1,
    routes: [],
    pools: new Map([['guides', pool]]),
  } as unknown as DesiredState;
  const placer = new Placer(
    { failureDomain: 'a', maxConcurrentStoreLoads: 4, weightStoreWindowMs: 5_000 },
    {
      clock,
      authority: {
        isHeld: () => isHeld,
        isHeldWithin: () => isHeld,
        fence: 1,
        holder: 'one',
        observeFenced: () => {},
      },
      control,
      table,
      demand,
      log: { event: () => {} },
      desired: () => desired,
      publishForecast: () => {},
      activeDomains: () => ['a'],
      publish: () => {},
    },
  );
  const report = (content: Partial<DemandReport>) =>
    demand.record({
      instance: 'one',
      waiting: [],
      rates: [],
      running: [],
      unreachable: [],
      ...content,
    });
  const waitingFor = (model: string, waitedMs = 0) => ({
    pool: 'guides',
    model,
    adapter: null,
    waiting: 1,
    waitedMs,
    latencyTargetMs: 2_000,
  });
  /** Advances the clock while the same demand is reported every 50 ms. */
  const run = async (durationMs: number, content: Partial<DemandReport>) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      report(content);
      await clock.advance(50);
      await new Promise((resolve) => {
        setTimeout(resolve, 9);
      });
    }
  };
  const setHeld = (held: boolean) => {
    isHeld = held;
  };
  void placer.run();
  return { clock, table, engines, run, waitingFor, setHeld };
};

describe('the placer', () => {
  test('loads a model that requests wait for, within the memory of the engine', async () => {
    const { engines, run, waitingFor } = start(1);
    await run(3_000, { waiting: [waitingFor('d', 1_000)] });
    const engine = engines.get('engine-0')!;
    expect(engine.models.has('d')).toBe(true);
    expect(engine.maxModels).toBe(3);
  });

  test('gives an engine one load at a time while several models are busy', async () => {
    const { engines, run } = start(2);
    const rates = ['d', 'e', 'f'].map((model) => ['guides', model, '', 20] as const);
    await run(4_000, { rates });
    expect([...engines.values()].map(({ maxModels }) => maxModels)).toEqual([3, 3]);
  });

  test('waits for an engine that loads for longer than expected', async () => {
    const { engines, run, waitingFor } = start(1, 9_000);
    await run(12_000, { waiting: [waitingFor('d', 1_000), waitingFor('e', 1_000)] });
    expect(engines.get('engine-0')!.maxModels).toBe(3);
  });

  test('loads a model elsewhere if the engine that is loading it announces its end', async () => {
    const { table, engines, run, waitingFor } = start(2, 9_000, ['a', 'b', 'c', 'e', 'f']);
    await run(1_500, { waiting: [waitingFor('d', 2_500)] });
    const [first, second] = ['engine-0', 'engine-1'].filter((id) => engines.get(id)!.isLoading);
    expect([first, second]).toEqual([expect.any(String), undefined]);
    const { entry } = table.get(first)!;
    table.applyEntry({ ...entry, entryNumber: 2, isLeaving: true, remainingMs: 8_000 });
    const other = first === 'engine-0' ? 'engine-1' : 'engine-0';
    const ordersBefore = engines.get(first)!.orders.length;
    await run(1_500, { waiting: [waitingFor('d', 2_500)] });
    expect(engines.get(other)!.isLoading).toBe(true);
    expect(engines.get(first)!.orders.length).toBe(ordersBefore);
    await run(9_000, {});
    expect(engines.get(first)!.orders.length).toBe(ordersBefore);
  });

  test('keeps engines free for waiting models with copies, and loads one model from the weight store', async () => {
    const { engines, run, waitingFor } = start(3, 9_000, ['a', 'b', 'c', 'd']);
    const waiting = [waitingFor('d', 1_000), waitingFor('e', 2_500), waitingFor('f', 2_500)];
    await run(2_000, { waiting });
    const loaded = [...engines.values()].flatMap(({ orders }) =>
      orders.filter(({ kind }) => kind === OrderKind.Load).map(({ model }) => model),
    );
    expect(loaded).toContain('d');
    expect(loaded.filter((model) => model !== 'd')).toHaveLength(1);
  });

  test('loads from the weight store while most engines are free, though a model with a copy waits', async () => {
    const { engines, run, waitingFor } = start(8, 9_000, ['a', 'b', 'c', 'd']);
    await run(2_000, {
      waiting: [waitingFor('d', 1_000), waitingFor('e', 2_500), waitingFor('f', 2_500)],
    });
    const loaded = [...engines.values()].flatMap(({ orders }) =>
      orders.filter(({ kind }) => kind === OrderKind.Load).map(({ model }) => model),
    );
    expect(new Set(loaded)).toEqual(new Set(['d', 'e', 'f']));
  });

  test('loads what many callers ask for from the weight store before short loads for single requests', async () => {
    const { engines, run, waitingFor } = start(2, 9_000, ['a', 'b', 'c', 'd']);
    await run(1_500, { waiting: [waitingFor('e', 2_500)] });
    const waiting = [waitingFor('d', 100), { ...waitingFor('f', 1_000), waiting: 10 }];
    await run(3_000, { waiting, rates: [['guides', 'f', '', 4]] });
    const loaded = [...engines.values()].flatMap(({ orders }) =>
      orders.filter(({ kind }) => kind === OrderKind.Load).map(({ model }) => model),
    );
    expect(loaded).toContain('f');
  });

  test('uses the models known from its own orders while entries lag behind', async () => {
    const { engines, table, run, waitingFor } = start(1);
    await run(2_000, { waiting: [waitingFor('d', 1_000)] });
    await run(3_000, {});
    const onDisk = new Set(MODELS);
    table.applyEntry(builders.target('engine-0', ['a'], { entryNumber: 9, onDisk }));
    await run(2_000, { waiting: [waitingFor('e', 1_000)] });
    expect(engines.get('engine-0')!.models.has('e')).toBe(true);
    expect(engines.get('engine-0')!.maxModels).toBe(3);
  });

  test('reads the report of an engine again after an order that was carried out late', async () => {
    const { engines, run, waitingFor } = start(1);
    const engine = engines.get('engine-0')!;
    await run(1_000, {});
    engine.loadDelayMs = 4_500;
    await run(4_000, { waiting: [waitingFor('d', 1_000)] });
    engine.loadDelayMs = 0;
    await run(6_000, { waiting: [waitingFor('e', 1_000), waitingFor('f', 1_000)] });
    expect(engine.maxModels).toBe(3);
  });

  test('reads what engines hold before the first order after it gains the authority', async () => {
    const { engines, table, setHeld, run, waitingFor } = start(1);
    setHeld(false);
    const engine = engines.get('engine-0')!;
    // Another holder of the authority changed the engine; the entries seen here are older.
    engine.models.delete('b');
    engine.models.add('f');
    table.applyEntry(builders.target('engine-0', ['a', 'c'], { onDisk: new Set(MODELS) }));
    await run(500, {});
    setHeld(true);
    await run(3_000, { waiting: [waitingFor('d', 1_000)] });
    expect(engine.maxModels).toBe(3);
  });
});
