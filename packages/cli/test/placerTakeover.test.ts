/** Placers that are killed or frozen: one replica is loaded, and no order of a replaced placer does harm. */
import { systemClock } from '@wisteriapath/model';
import call from './support/call';
import eventually from './support/eventually';
import ProcessSystem from './support/ProcessSystem';
import rows from './support/rows';

interface EngineState {
  readonly loads: number;
  readonly overcommits: number;
  readonly orders: { taken: number; staleRefused: number; staleTaken: number };
}

describe('a killed or frozen placer', () => {
  let system: ProcessSystem;
  let engine: { url: string };
  let instances: Awaited<ReturnType<ProcessSystem['instance']>>[];
  const engineState = async () =>
    (await (await fetch(`${engine.url}/state`)).json()) as EngineState;
  const placerIndex = async (observer = 0) => {
    const { roles } = await instances[observer].operator.status();
    const holder = roles.find(({ role }) => role === 'placer/khomas-a')?.holder;
    return instances.findIndex(({ name }) => name === holder);
  };
  const start = async (engineOptions: object, row: object) => {
    system = await ProcessSystem.start(['khomas-a', 'khomas-b']);
    engine = await system.standin('engine', engineOptions);
    // Holds the half of the budgets that belongs to khomas-b. A frozen home instance keeps the half of its own domain.
    await system.instance({ name: 'entry-b', failureDomain: 'khomas-b' });
    instances = await Promise.all(
      ['entry-0', 'entry-1', 'entry-2'].map((name) =>
        system.instance({
          name,
          failureDomain: 'khomas-a',
          settings: { roles: { probe_interval_ms: 100 } },
        }),
      ),
    );
    const { operator } = instances[0];
    await eventually(
      () => operator.status(),
      ({ ready }) => ready,
    );
    await operator.set('workspaces', 'omuriro', 0, rows.workspace());
    await operator.set('keys', 'k1', 0, rows.key('secret-1', 'omuriro'));
    const targets = { e1: rows.engine(engine.url, 'khomas-a', row) };
    await operator.set('pools', 'guide', 0, { targets });
    await operator.set('routes', 'cup-guide', 0, rows.model('guide', ['omuriro']));
    await operator.set('routes', 'other', 0, {
      ...rows.model('guide', ['omuriro']),
      model: 'other-7b',
    });
    await eventually(
      () => placerIndex(),
      (index) => index >= 0,
    );
  };
  afterEach(() => system.stop());

  test('killed during a load: another placer takes over, and one replica is loaded', async () => {
    await start({ remoteTierMs: 1_500 }, {});
    const placer = await placerIndex();
    const survivor = (placer + 1) % 3;
    const waiting = call.complete(instances[survivor].callersUrl, 'secret-1', {});
    await eventually(async () => (await engineState()).loads === 1);
    instances[placer].process.signal('SIGKILL');
    expect((await waiting).status).toBe(200);
    expect((await engineState()).loads).toBe(1);
    expect(await placerIndex(survivor)).not.toBe(placer);
  });

  test('frozen and replaced: a target that checks fencing tokens takes no stale order', async () => {
    await start({}, { fencing: true });
    const placer = await placerIndex();
    const survivor = (placer + 1) % 3;
    instances[placer].process.signal('SIGSTOP');
    await eventually(
      () => placerIndex(survivor),
      (index) => index >= 0 && index !== placer,
    );
    const response = await eventually(
      () => call.complete(instances[survivor].callersUrl, 'secret-1', {}),
      ({ status }) => status === 200,
    );
    expect(response.status).toBe(200);
    instances[placer].process.signal('SIGCONT');
    await systemClock.sleep(1_000);
    const state = await engineState();
    expect([state.loads, state.overcommits, state.orders.staleTaken]).toEqual([1, 0, 0]);
  });

  test('frozen and replaced: a target that ignores fencing tokens gets no orders until the placer is back', async () => {
    await start({ fencing: false }, { fencing: false });
    const placer = await placerIndex();
    const survivor = (placer + 1) % 3;
    await eventually(
      () => call.complete(instances[survivor].callersUrl, 'secret-1', {}),
      ({ status }) => status === 200,
    );
    instances[placer].process.signal('SIGSTOP');
    await eventually(
      () => placerIndex(survivor),
      (index) => index >= 0 && index !== placer,
    );
    await eventually(
      () => call.complete(instances[survivor].callersUrl, 'secret-1', {}),
      ({ status }) => status === 200,
    );
    const cold = { model: 'other' };
    const headers = { 'x-deadline-ms': '1500' };
    const { callersUrl } = instances[survivor];
    const during = await call.complete(callersUrl, 'secret-1', cold, headers);
    expect(during.error).toMatchObject({ ran: 'no' });
    expect((await engineState()).loads).toBe(1);
    instances[placer].process.signal('SIGCONT');
    await eventually(
      () => call.complete(callersUrl, 'secret-1', cold),
      ({ status }) => status === 200,
    );
    expect((await engineState()).overcommits).toBe(0);
  });
});
