/** Routing with silent connections, a weight store that is slow or down, and targets that leave their pool. */
import { Readable } from 'node:stream';
import { systemClock } from '@wisteriapath/model';
import { FaultKind, startEngine, startWeightStore } from '@wisteriapath/standins';
import call from './support/call';
import engineState from './support/engineState';
import eventually from './support/eventually';
import rows from './support/rows';
import startEngines from './support/startEngines';

const DOMAIN = 'khomas-a';
const COMPLETIONS = '/v1/completions';

describe('routing', () => {
  let fixture: Awaited<ReturnType<typeof startEngines>>;
  const standins: Awaited<ReturnType<typeof startEngine>>[] = [];
  afterEach(async () => {
    await fixture.stop();
    await Promise.all(standins.splice(0).map((standin) => standin.close()));
  });

  /** Starts an engine with a warm and a cold model that loads from a weight store; returns the store. */
  const startBehindStore = async (settings?: Parameters<typeof startEngines>[0]['settings']) => {
    const store = await startWeightStore({ loadsPerS: 100, mbPerS: 1e6 });
    standins.push(store);
    const options = { weightStoreUrl: store.url };
    fixture = await startEngines({ engines: [{ domain: DOMAIN, options }], settings });
    await fixture.sendRequest(0);
    await fixture.addRoute('cold', { model: 'cold-7b', modelMb: 2_000 });
    return store;
  };

  /** Sends headers and the beginning of a body at once, the rest of the body after `restAfterMs`. */
  const sendLateBody = (model: string, restAfterMs: number, deadlineMs: number) => {
    const parts = async function* parts() {
      yield `{"model":"${model}","prompt":"a dented rim",`;
      await systemClock.sleep(restAfterMs);
      yield '"max_tokens":4}';
    };
    return call.raw(`${fixture.instances[0].callersUrl}${COMPLETIONS}`, {
      method: 'POST',
      headers: { authorization: 'Bearer secret-1', 'x-deadline-ms': String(deadlineMs) },
      body: Readable.from(parts()),
    });
  };

  test('a request on a silent connection is retried on another connection', async () => {
    fixture = await startEngines({
      engines: [{ domain: DOMAIN }],
      settings: { requests: { silence_limit_ms: 300 } },
    });
    await fixture.sendRequest(0);
    const before = engineState(fixture.engines[0]).connections;
    fixture.engines[0].setFault({ kind: FaultKind.Silent, remaining: 1, path: COMPLETIONS });
    const response = await fixture.sendRequest(0, {}, { 'x-deadline-ms': '10000' });
    expect(response.status).toBe(200);
    const { connections, finished } = engineState(fixture.engines[0]);
    expect({ again: connections > before, finished }).toEqual({ again: true, finished: 2 });
  });

  test('a cold model is refused in time while the weight store is down, a warm one answered', async () => {
    const store = await startBehindStore();
    store.setFault({ kind: FaultKind.Down });
    const startedMs = performance.now();
    const cold = fixture
      .sendRequest(0, { model: 'cold' }, { 'x-deadline-ms': '4000' })
      .then(({ error }) => ({ error, tookMs: performance.now() - startedMs }));
    const warm = await fixture.sendRequest(1);
    const refused = await cold;
    expect(warm.status).toBe(200);
    expect(refused.error).toMatchObject({ ran: 'no' });
    expect(refused.tookMs).toBeLessThan(4_000);

    store.setFault({ kind: FaultKind.None });
    const later = await fixture.sendRequest(0, { model: 'cold' }, { 'x-deadline-ms': '10000' });
    expect(later.status).toBe(200);
    expect(engineState(fixture.engines[0]).loads).toBe(2);
  });

  test('a deadline counts from the headers of a request, however late its body comes', async () => {
    const store = await startBehindStore({ requests: { answer_margin_ms: 2_000 } });
    store.setFault({ kind: FaultKind.Down });
    const startedMs = performance.now();
    const refused = await sendLateBody('cold', 2_500, 4_000);
    expect(refused.error).toMatchObject({ ran: 'no' });
    expect(performance.now() - startedMs).toBeLessThan(4_000);
  });

  test('a request whose body comes after its deadline is refused, also where a target is free', async () => {
    await startBehindStore();
    const refused = await sendLateBody('cup-guide', 600, 400);
    expect(refused.error).toMatchObject({ kind: 'deadline_expired', ran: 'no' });
  });

  test('a slow weight store delays cold models only', async () => {
    const store = await startBehindStore();
    store.setFault({ kind: FaultKind.Slow, delayMs: 1_500 });
    const cold = fixture.sendRequest(0, { model: 'cold' }, { 'x-deadline-ms': '10000' });
    const warm = await Promise.all(
      Array.from({ length: 20 }, (_unused, index) => fixture.sendRequest(index)),
    );
    expect(new Set(warm.map(({ status }) => status))).toEqual(new Set([200]));
    expect((await cold).status).toBe(200);
  });

  test('a target that is removed from its pool gets no new requests and finishes the running ones', async () => {
    fixture = await startEngines({
      engines: [{ domain: DOMAIN, options: { tokenMs: 20 } }, { domain: DOMAIN }],
    });
    await fixture.sendRequest(0);
    const inflightRequests = Array.from({ length: 3 }, (_unused, index) =>
      fixture.sendRequest(index, { max_tokens: 40 }),
    );
    const [leaving, staying] = engineState(fixture.engines[0]).loads === 1 ? [0, 1] : [1, 0];
    await eventually(() => engineState(fixture.engines[leaving]).inflight > 0);
    const targets = {
      [`engine-${staying}`]: rows.engine(fixture.engines[staying].url, DOMAIN),
    };
    const row = await fixture.operator.row('pools', 'guide');
    const edit = await fixture.operator.set('pools', 'guide', row!.version, { targets });
    await fixture.awaitOffset(edit.offset);
    const countReceived = () => {
      const { finished, inflight } = engineState(fixture.engines[leaving]);
      return finished + inflight;
    };
    const before = countReceived();
    const after = await Promise.all(
      Array.from({ length: 12 }, (_unused, index) =>
        fixture.sendRequest(index, {}, { 'x-deadline-ms': '25000' }),
      ),
    );
    expect(after.map(({ status, error }) => error ?? status)).toEqual(Array(12).fill(200));
    expect(countReceived()).toBe(before);
    expect((await Promise.all(inflightRequests)).map(({ status }) => status)).toEqual([
      200, 200, 200,
    ]);
  });
});
