/** Routing: connections that go silent, a weight store that is slow or down, engines that vanish. */
import { FaultKind, startEngine, startWeightStore } from '@wisteriapath/standins';
import stateOf from './support/engineState';
import eventually from './support/eventually';
import rows from './support/rows';
import startEngines from './support/startEngines';

const DOMAIN = 'khomas-a';
const COMPLETIONS = '/v1/completions';

describe('routing', () => {
  let placed: Awaited<ReturnType<typeof startEngines>>;
  const standins: Awaited<ReturnType<typeof startEngine>>[] = [];
  afterEach(async () => {
    await placed.stop();
    await Promise.all(standins.splice(0).map((standin) => standin.close()));
  });

  /** An engine with a warm model and a cold one, before a weight store; answers with the store. */
  const startBehindStore = async () => {
    const store = await startWeightStore({ loadsPerS: 100, mbPerS: 1e6 });
    standins.push(store);
    const options = { weightStoreUrl: store.url };
    placed = await startEngines({ engines: [{ domain: DOMAIN, options }] });
    await placed.ask(0);
    await placed.addRoute('cold', { model: 'cold-7b', modelMb: 2_000 });
    return store;
  };

  test('a connection that goes silent is given up and its request answered by another', async () => {
    placed = await startEngines({
      engines: [{ domain: DOMAIN }],
      settings: { requests: { silence_limit_ms: 300 } },
    });
    await placed.ask(0);
    const before = stateOf(placed.engines[0]).connections;
    placed.engines[0].setFault({ kind: FaultKind.Silent, remaining: 1, path: COMPLETIONS });
    const answer = await placed.ask(0, {}, { 'x-deadline-ms': '10000' });
    expect(answer.status).toBe(200);
    const { connections, finished } = stateOf(placed.engines[0]);
    expect({ again: connections > before, finished }).toEqual({ again: true, finished: 2 });
  });

  test('a cold model is refused in time while the weight store is down, a warm one answered', async () => {
    const store = await startBehindStore();
    store.setFault({ kind: FaultKind.Down });
    const startedMs = performance.now();
    const cold = placed.ask(0, { model: 'cold' }, { 'x-deadline-ms': '4000' });
    const warm = await placed.ask(1);
    const refused = await cold;
    expect(warm.status).toBe(200);
    expect(refused.error).toMatchObject({ ran: 'no' });
    expect(performance.now() - startedMs).toBeLessThan(4_000);

    store.setFault({ kind: FaultKind.None });
    const later = await placed.ask(0, { model: 'cold' }, { 'x-deadline-ms': '10000' });
    expect(later.status).toBe(200);
    expect(stateOf(placed.engines[0]).loads).toBe(2);
  });

  test('a slow weight store delays cold models only', async () => {
    const store = await startBehindStore();
    store.setFault({ kind: FaultKind.Slow, delayMs: 1_500 });
    const cold = placed.ask(0, { model: 'cold' }, { 'x-deadline-ms': '10000' });
    const warm = await Promise.all(
      Array.from({ length: 20 }, (_unused, index) => placed.ask(index)),
    );
    expect(new Set(warm.map(({ status }) => status))).toEqual(new Set([200]));
    expect((await cold).status).toBe(200);
  });

  test('a target that leaves its pool under requests gets no new work, and nothing is cut', async () => {
    placed = await startEngines({
      engines: [{ domain: DOMAIN, options: { tokenMs: 20 } }, { domain: DOMAIN }],
    });
    await placed.ask(0);
    const begun = Array.from({ length: 3 }, (_unused, index) =>
      placed.ask(index, { max_tokens: 40 }),
    );
    const [leaving, staying] = stateOf(placed.engines[0]).loads === 1 ? [0, 1] : [1, 0];
    await eventually(() => stateOf(placed.engines[leaving]).inflight > 0);
    const targets = {
      [`engine-${staying}`]: rows.engine(placed.engines[staying].url, DOMAIN),
    };
    const row = await placed.operator.row('pools', 'guide');
    const edit = await placed.operator.set('pools', 'guide', row!.version, { targets });
    await placed.inForce(edit.offset);
    const taken = () => {
      const { finished, inflight } = stateOf(placed.engines[leaving]);
      return finished + inflight;
    };
    const before = taken();
    const after = await Promise.all(
      Array.from({ length: 12 }, (_unused, index) =>
        placed.ask(index, {}, { 'x-deadline-ms': '25000' }),
      ),
    );
    expect(after.map(({ status, error }) => error ?? status)).toEqual(Array(12).fill(200));
    expect(taken()).toBe(before);
    expect((await Promise.all(begun)).map(({ status }) => status)).toEqual([200, 200, 200]);
  });
});
