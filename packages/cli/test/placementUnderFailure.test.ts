/** Placement: every loaded replica has a placement decision, and engine memory is never overcommitted. */
import { systemClock } from '@wisteriapath/model';
import call from './support/call';
import engineState from './support/engineState';
import eventually from './support/eventually';
import rows from './support/rows';
import startEngines from './support/startEngines';

const DOMAINS = ['khomas-a', 'khomas-b', 'khomas-c'];

const spread = DOMAINS.map((domain) => ({ domain }));

describe('placement', () => {
  let fixture: Awaited<ReturnType<typeof startEngines>>;
  afterEach(() => fixture.stop());

  test('200 first requests over 6 instances end in one decision and one load', async () => {
    fixture = await startEngines({ instancesPerDomain: 2, engines: spread });
    const responses = await Promise.all(
      Array.from({ length: 200 }, (_unused, index) =>
        fixture.sendRequest(index, {}, { 'x-deadline-ms': '20000' }),
      ),
    );
    expect(new Set(responses.map(({ status }) => status))).toEqual(new Set([200]));
    const loads = fixture.engines.map((engine) => engineState(engine).loads);
    expect(loads.reduce((a, b) => a + b, 0)).toBe(1);
    expect(fixture.decisions().filter((line) => line.includes('kind=load'))).toHaveLength(1);
  });

  test('a new engine never gets more requests than it can serve, and ramps up to its capacity', async () => {
    fixture = await startEngines({
      instancesPerDomain: 2,
      engines: [{ domain: 'khomas-a', options: { freshCapacity: 4, warmAfter: 8, tokenMs: 5 } }],
    });
    const responses = await Promise.all(
      Array.from({ length: 300 }, (_unused, index) =>
        fixture.sendRequest(index, {}, { 'x-deadline-ms': '25000' }),
      ),
    );
    expect(new Set(responses.map(({ status }) => status))).toEqual(new Set([200]));
    const state = engineState(fixture.engines[0]);
    expect(state.falls).toBe(0);
    expect(state.peakInflightFresh).toBeLessThanOrEqual(4);
    expect(state.peakInflight).toBeLessThanOrEqual(16);
    expect(state.peakInflight).toBeGreaterThan(8);
  });

  test('memory is never overcommitted while models replace each other', async () => {
    const engine = { domain: 'khomas-a', options: { memoryMb: 40_000 }, row: { memoryMb: 40_000 } };
    fixture = await startEngines({ engines: [engine] });
    await fixture.addRoute('second', { model: 'second-7b', modelMb: 14_000 });
    await fixture.addRoute('third', { model: 'third-7b', modelMb: 14_000 });
    await fixture.addRoute('silver', { adapter: 'silver', adapterMb: 500 });
    const routes = ['cup-guide', 'second', 'silver', 'third'];
    const responses = await Promise.all(
      routes.map((model, index) =>
        fixture.sendRequest(index, { model }, { 'x-deadline-ms': '20000' }),
      ),
    );
    expect(responses.map(({ status, error }) => error?.kind ?? status)).toEqual(
      expect.arrayContaining([200]),
    );
    const state = engineState(fixture.engines[0]);
    expect(state.overcommits).toBe(0);
    expect(state.peakMb).toBeLessThanOrEqual(32_000);
  });

  test('an order whose response is lost is retried and loads the model once', async () => {
    fixture = await startEngines({ engines: [{ domain: 'khomas-a' }] });
    fixture.engines[0].setFault({ kind: 'lose_answer', path: '/orders', remaining: 2 });
    expect((await fixture.sendRequest(0)).status).toBe(200);
    expect(engineState(fixture.engines[0]).loads).toBe(1);
  });

  test('a model that its engine unloads unannounced is loaded again', async () => {
    fixture = await startEngines({ engines: [{ domain: 'khomas-a' }] });
    expect((await fixture.sendRequest(0)).status).toBe(200);
    fixture.engines[0].setFault({ turnCold: true });
    await eventually(
      () => fixture.sendRequest(1),
      ({ status }) => status === 200,
    );
    expect(engineState(fixture.engines[0]).loads).toBe(2);
    expect(fixture.decisions().filter((line) => line.includes('kind=load'))).toHaveLength(2);
  });

  test('a zone that is out of service gets no new requests, and the others serve all of them', async () => {
    fixture = await startEngines({ engines: spread });
    const before = await Promise.all(DOMAINS.map((_domain, index) => fixture.sendRequest(index)));
    expect(before.map(({ status }) => status)).toEqual([200, 200, 200]);
    const servingIndex = fixture.engines.findIndex((engine) => engineState(engine).finished > 0);
    await fixture.operator.set('zones', DOMAINS[servingIndex], 0, { state: 'out' });
    await eventually(
      () => fixture.sendRequest(0),
      ({ status }) => status === 200,
    );
    const finishedBefore = engineState(fixture.engines[servingIndex]).finished;
    const during = await Promise.all(
      Array.from({ length: 30 }, (_unused, index) => fixture.sendRequest(index)),
    );
    expect(new Set(during.map(({ status }) => status))).toEqual(new Set([200]));
    expect(engineState(fixture.engines[servingIndex]).finished).toBe(finishedBefore);
    const row = await fixture.operator.row('zones', DOMAINS[servingIndex]);
    await fixture.operator.set('zones', DOMAINS[servingIndex], row!.version, { state: 'in' });
    await eventually(async () => {
      await fixture.sendRequest(0);
      return engineState(fixture.engines[servingIndex]).finished > finishedBefore;
    });
  });

  test('a failure domain without access to log and peers serves its own models', async () => {
    fixture = await startEngines({ engines: [{ domain: 'khomas-b' }] });
    await eventually(
      () => fixture.sendRequest(1),
      ({ status }) => status === 200,
    );
    fixture.instances[1].setLogDisconnected(true);
    fixture.system.setDomainDisconnected('khomas-b', true);
    const responses = await Promise.all(Array.from({ length: 10 }, () => fixture.sendRequest(1)));
    expect(new Set(responses.map(({ status }) => status))).toEqual(new Set([200]));
    const elsewhere = await fixture.sendRequest(0, {}, { 'x-deadline-ms': '1500' });
    expect(elsewhere.error).toMatchObject({ ran: 'no' });
  });

  test('a request that crashes its engine is quarantined, and its neighbours are answered', async () => {
    fixture = await startEngines({ engines: spread, maxReplicas: 1 });
    // An instance reports a crash only to the peers that it is connected to.
    await Promise.all(
      fixture.instances.map(({ operator }) =>
        eventually(
          () => operator.status(),
          ({ peers }) => peers.filter(({ silentMs }) => silentMs !== null).length === 2,
        ),
      ),
    );
    await Promise.all(DOMAINS.map((_domain, index) => fixture.sendRequest(index)));
    fixture.engines.forEach((engine) => engine.setFault({ crashOn: 'poison' }));
    const neighbours = Array.from({ length: 6 }, (_unused, index) =>
      fixture.sendRequest(index, { prompt: `neighbour ${index}`, max_tokens: 60 }),
    );
    await systemClock.sleep(30);
    const poisoned = [];
    for (const index of [0, 1, 2]) {
      poisoned.push(
        await fixture.sendRequest(index, { prompt: 'poison' }, { 'x-deadline-ms': '6000' }),
      );
    }
    expect(poisoned.at(-1)!.error).toMatchObject({ kind: 'quarantined' });
    const crashes = fixture.engines.map((engine) => engineState(engine).crashes);
    expect(crashes.reduce((a, b) => a + b, 0)).toBeLessThanOrEqual(2);
    const responses = await Promise.all(neighbours);
    expect(responses.map(({ status, error }) => error?.kind ?? status)).toEqual(Array(6).fill(200));
  });

  test('connections are reused after complete responses', async () => {
    fixture = await startEngines({ engines: [{ domain: 'khomas-a', options: { endLagMs: 5 } }] });
    await fixture.sendRequest(0);
    const before = engineState(fixture.engines[0]).connections;
    for (let index = 0; index < 10; index += 1) {
      expect((await fixture.sendRequest(0)).status).toBe(200);
    }
    expect(engineState(fixture.engines[0]).connections - before).toBeLessThanOrEqual(1);
  });

  test('a deadline that passes during a response does not count as a crash of the target', async () => {
    fixture = await startEngines({ engines: [{ domain: 'khomas-a', options: { tokenMs: 50 } }] });
    await fixture.sendRequest(0);
    const slow = () => fixture.sendRequest(0, { max_tokens: 100 }, { 'x-deadline-ms': '700' });
    const responses = [await slow(), await slow(), await slow()];
    expect(responses.map(({ error }) => error?.kind)).toEqual(Array(3).fill('deadline_expired'));
    expect(responses.map(({ error }) => error?.ran)).toEqual(Array(3).fill('unknown'));
  });

  test('a stream is cancelled when its caller disconnects', async () => {
    fixture = await startEngines({ engines: [{ domain: 'khomas-a', options: { tokenMs: 20 } }] });
    await fixture.sendRequest(0);
    const callerAbort = new AbortController();
    const request = fetch(`${fixture.instances[0].callersUrl}/v1/completions`, {
      method: 'POST',
      signal: callerAbort.signal,
      headers: { authorization: 'Bearer secret-1' },
      body: JSON.stringify({ model: 'cup-guide', prompt: 'x', max_tokens: 400, stream: true }),
    });
    await (await request).body!.getReader().read();
    callerAbort.abort();
    await eventually(() => engineState(fixture.engines[0]).cancelled === 1);
  });

  test('a request is refused if its key is withdrawn while it waits for a cold start', async () => {
    fixture = await startEngines({
      engines: [{ domain: 'khomas-a', options: { remoteTierMs: 1_500 } }],
    });
    await fixture.operator.set('keys', 'k2', 0, rows.key('secret-2', 'omuriro'));
    const waiting = call.complete(fixture.instances[0].callersUrl, 'secret-2', {});
    await systemClock.sleep(500);
    const row = await fixture.operator.row('keys', 'k2');
    await fixture.operator.remove('keys', 'k2', row!.version);
    expect((await waiting).error).toMatchObject({ kind: 'unauthenticated', ran: 'no' });
    expect(engineState(fixture.engines[0]).finished).toBe(0);
  });
});
