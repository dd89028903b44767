/** Placement: replicas loaded are replicas decided, memory is never overcommitted. */
import { systemClock } from '@wisteriapath/model';
import call from './support/call';
import stateOf from './support/engineState';
import eventually from './support/eventually';
import rows from './support/rows';
import startEngines from './support/startEngines';

const DOMAINS = ['khomas-a', 'khomas-b', 'khomas-c'];

const spread = DOMAINS.map((domain) => ({ domain }));

describe('placement', () => {
  let placed: Awaited<ReturnType<typeof startEngines>>;
  afterEach(() => placed.stop());

  test('200 first requests over 6 instances end in one decision and one load', async () => {
    placed = await startEngines({ instancesPerDomain: 2, engines: spread });
    const answers = await Promise.all(
      Array.from({ length: 200 }, (_unused, index) =>
        placed.ask(index, {}, { 'x-deadline-ms': '20000' }),
      ),
    );
    expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([200]));
    const loads = placed.engines.map((engine) => stateOf(engine).loads);
    expect(loads.reduce((a, b) => a + b, 0)).toBe(1);
    expect(placed.decisions().filter((line) => line.includes('kind=load'))).toHaveLength(1);
  });

  test('a fresh engine never gets more than it bears, and grows to its capacity', async () => {
    placed = await startEngines({
      instancesPerDomain: 2,
      engines: [{ domain: 'khomas-a', options: { freshCapacity: 4, warmAfter: 8, tokenMs: 5 } }],
    });
    const answers = await Promise.all(
      Array.from({ length: 300 }, (_unused, index) =>
        placed.ask(index, {}, { 'x-deadline-ms': '25000' }),
      ),
    );
    expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([200]));
    const state = stateOf(placed.engines[0]);
    expect(state.falls).toBe(0);
    expect(state.peakInflightFresh).toBeLessThanOrEqual(4);
    expect(state.peakInflight).toBeLessThanOrEqual(16);
    expect(state.peakInflight).toBeGreaterThan(8);
  });

  test('memory is never overcommitted while models change places', async () => {
    const engine = { domain: 'khomas-a', options: { memoryMb: 40_000 }, row: { memoryMb: 40_000 } };
    placed = await startEngines({ engines: [engine] });
    await placed.addRoute('second', { model: 'second-7b', modelMb: 14_000 });
    await placed.addRoute('third', { model: 'third-7b', modelMb: 14_000 });
    await placed.addRoute('silver', { adapter: 'silver', adapterMb: 500 });
    const routes = ['cup-guide', 'second', 'silver', 'third'];
    const answers = await Promise.all(
      routes.map((model, index) => placed.ask(index, { model }, { 'x-deadline-ms': '20000' })),
    );
    expect(answers.map(({ status, error }) => error?.kind ?? status)).toEqual(
      expect.arrayContaining([200]),
    );
    const state = stateOf(placed.engines[0]);
    expect(state.overcommits).toBe(0);
    expect(state.peakMb).toBeLessThanOrEqual(32_000);
  });

  test('an order whose answer is lost is repeated and loads once', async () => {
    placed = await startEngines({ engines: [{ domain: 'khomas-a' }] });
    placed.engines[0].setFault({ kind: 'lose_answer', path: '/orders', remaining: 2 });
    expect((await placed.ask(0)).status).toBe(200);
    expect(stateOf(placed.engines[0]).loads).toBe(1);
  });

  test('a target that turns cold unannounced is loaded again and answers', async () => {
    placed = await startEngines({ engines: [{ domain: 'khomas-a' }] });
    expect((await placed.ask(0)).status).toBe(200);
    placed.engines[0].setFault({ turnCold: true });
    await eventually(
      () => placed.ask(1),
      ({ status }) => status === 200,
    );
    expect(stateOf(placed.engines[0]).loads).toBe(2);
    expect(placed.decisions().filter((line) => line.includes('kind=load'))).toHaveLength(2);
  });

  test('a zone taken out gets no new work, and the rest answers everything', async () => {
    placed = await startEngines({ engines: spread });
    const before = await Promise.all(DOMAINS.map((_domain, index) => placed.ask(index)));
    expect(before.map(({ status }) => status)).toEqual([200, 200, 200]);
    const home = placed.engines.findIndex((engine) => stateOf(engine).finished > 0);
    await placed.operator.set('zones', DOMAINS[home], 0, { state: 'out' });
    await eventually(
      () => placed.ask(0),
      ({ status }) => status === 200,
    );
    const outAt = stateOf(placed.engines[home]).finished;
    const during = await Promise.all(
      Array.from({ length: 30 }, (_unused, index) => placed.ask(index)),
    );
    expect(new Set(during.map(({ status }) => status))).toEqual(new Set([200]));
    expect(stateOf(placed.engines[home]).finished).toBe(outAt);
    const row = await placed.operator.row('zones', DOMAINS[home]);
    await placed.operator.set('zones', DOMAINS[home], row!.version, { state: 'in' });
    await eventually(async () => {
      await placed.ask(0);
      return stateOf(placed.engines[home]).finished > outAt;
    });
  });

  test('a domain cut off from platform and peers serves its own models', async () => {
    placed = await startEngines({ engines: [{ domain: 'khomas-b' }] });
    await eventually(
      () => placed.ask(1),
      ({ status }) => status === 200,
    );
    placed.instances[1].cutLog(true);
    placed.system.cutPeers('khomas-b', true);
    const answers = await Promise.all(Array.from({ length: 10 }, () => placed.ask(1)));
    expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([200]));
    const elsewhere = await placed.ask(0, {}, { 'x-deadline-ms': '1500' });
    expect(elsewhere.error).toMatchObject({ ran: 'no' });
  });

  test('a request that crashes its engine is quarantined, and its neighbours are answered', async () => {
    placed = await startEngines({ engines: spread, maxReplicas: 1 });
    // The news of a crash reaches the peers that an instance is linked with.
    await Promise.all(
      placed.instances.map(({ operator }) =>
        eventually(
          () => operator.status(),
          ({ peers }) => peers.filter(({ silentMs }) => silentMs !== null).length === 2,
        ),
      ),
    );
    await Promise.all(DOMAINS.map((_domain, index) => placed.ask(index)));
    placed.engines.forEach((engine) => engine.setFault({ crashOn: 'poison' }));
    const neighbours = Array.from({ length: 6 }, (_unused, index) =>
      placed.ask(index, { prompt: `neighbour ${index}`, max_tokens: 60 }),
    );
    await systemClock.sleep(30);
    const poisoned = [];
    for (const index of [0, 1, 2]) {
      poisoned.push(await placed.ask(index, { prompt: 'poison' }, { 'x-deadline-ms': '6000' }));
    }
    expect(poisoned.at(-1)!.error).toMatchObject({ kind: 'quarantined' });
    const crashes = placed.engines.map((engine) => stateOf(engine).crashes);
    expect(crashes.reduce((a, b) => a + b, 0)).toBeLessThanOrEqual(2);
    const answers = await Promise.all(neighbours);
    expect(answers.map(({ status, error }) => error?.kind ?? status)).toEqual(Array(6).fill(200));
  });

  test('answers that end whole leave their connection to the next one', async () => {
    placed = await startEngines({ engines: [{ domain: 'khomas-a', options: { endLagMs: 5 } }] });
    await placed.ask(0);
    const before = stateOf(placed.engines[0]).connections;
    for (let answer = 0; answer < 10; answer += 1) {
      expect((await placed.ask(0)).status).toBe(200);
    }
    expect(stateOf(placed.engines[0]).connections - before).toBeLessThanOrEqual(1);
  });

  test('a deadline that passes during an answer is no crash of the target', async () => {
    placed = await startEngines({ engines: [{ domain: 'khomas-a', options: { tokenMs: 50 } }] });
    await placed.ask(0);
    const slow = () => placed.ask(0, { max_tokens: 100 }, { 'x-deadline-ms': '700' });
    const answers = [await slow(), await slow(), await slow()];
    expect(answers.map(({ error }) => error?.kind)).toEqual(Array(3).fill('deadline_expired'));
    expect(answers.map(({ error }) => error?.ran)).toEqual(Array(3).fill('unknown'));
  });

  test('a caller that disappears cancels its stream', async () => {
    placed = await startEngines({ engines: [{ domain: 'khomas-a', options: { tokenMs: 20 } }] });
    await placed.ask(0);
    const leaving = new AbortController();
    const request = fetch(`${placed.instances[0].callersUrl}/v1/completions`, {
      method: 'POST',
      signal: leaving.signal,
      headers: { authorization: 'Bearer secret-1' },
      body: JSON.stringify({ model: 'cup-guide', prompt: 'x', max_tokens: 400, stream: true }),
    });
    await (await request).body!.getReader().read();
    leaving.abort();
    await eventually(() => stateOf(placed.engines[0]).cancelled === 1);
  });

  test('a key withdrawn while its request waits on a cold start is refused', async () => {
    placed = await startEngines({
      engines: [{ domain: 'khomas-a', options: { remoteTierMs: 1_500 } }],
    });
    await placed.operator.set('keys', 'k2', 0, rows.key('secret-2', 'omuriro'));
    const waiting = call.complete(placed.instances[0].callersUrl, 'secret-2', {});
    await systemClock.sleep(500);
    const row = await placed.operator.row('keys', 'k2');
    await placed.operator.remove('keys', 'k2', row!.version);
    expect((await waiting).error).toMatchObject({ kind: 'unauthenticated', ran: 'no' });
    expect(stateOf(placed.engines[0]).finished).toBe(0);
  });
});
