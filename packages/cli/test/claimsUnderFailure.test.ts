/** Non-idempotent calls run at most once, and a call that is reported as not run has not reached the service. */
import { systemClock } from '@wisteriapath/model';
import { startService } from '@wisteriapath/standins';
import call from './support/call';
import eventually from './support/eventually';
import InProcessSystem from './support/InProcessSystem';
import ProcessSystem from './support/ProcessSystem';
import rows from './support/rows';

const DOMAINS = ['khomas-a', 'khomas-b'];

interface ServiceState {
  readonly runs: Readonly<Record<string, number>>;
}

const startBookingService = async () => {
  const system = await InProcessSystem.start(DOMAINS);
  const service = await startService({ workMs: 5 });
  const [a, b] = await Promise.all([
    system.instance({ name: 'entry-a', failureDomain: 'khomas-a' }),
    system.instance({ name: 'entry-b', failureDomain: 'khomas-b' }),
  ]);
  const { operator } = a;
  await operator.set('workspaces', 'omuriro', 0, rows.workspace());
  await operator.set('keys', 'k1', 0, rows.key('secret-1', 'omuriro'));
  const targets = { shop: rows.service(service.url, 'khomas-a') };
  await operator.set('pools', 'desk', 0, { targets });
  await operator.set('routes', 'bookings', 0, rows.booking('desk', ['omuriro']));
  const book = (instance: typeof a, key: string, deadlineMs = 2_000) =>
    call.book(instance.callersUrl, 'secret-1', key, { 'x-deadline-ms': String(deadlineMs) });
  await eventually(
    () => book(a, 'first'),
    ({ status }) => status === 200,
  );
  await eventually(
    () => book(b, 'second'),
    ({ status }) => status === 200,
  );
  const runs = (key: string) => (service.state() as ServiceState).runs[key] ?? 0;
  const stop = async () => {
    await system.stop();
    await service.close();
  };
  return { system, service, a, b, book, runs, stop };
};

describe('non-idempotent calls under failure', () => {
  let fixture: Awaited<ReturnType<typeof startBookingService>>;
  beforeEach(async () => {
    fixture = await startBookingService();
  });
  afterEach(() => fixture.stop());

  test('twenty concurrent copies through two instances run once and get the same response', async () => {
    const responses = await Promise.all(
      Array.from({ length: 20 }, (_unused, copy) =>
        fixture.book(copy % 2 === 0 ? fixture.a : fixture.b, 'cup-1'),
      ),
    );
    expect(new Set(responses.map(({ status, text }) => `${status} ${text}`)).size).toBe(1);
    expect(responses[0].status).toBe(200);
    expect(fixture.runs('cup-1')).toBe(1);
  });

  test('a retry through another instance gets the first outcome', async () => {
    const first = await fixture.book(fixture.a, 'cup-2');
    const repeat = await fixture.book(fixture.b, 'cup-2');
    expect([repeat.status, repeat.text]).toEqual([first.status, first.text]);
    expect(fixture.runs('cup-2')).toBe(1);
  });

  test('an idempotency key that is reused for a different request is refused', async () => {
    await fixture.book(fixture.a, 'cup-3');
    const other = await call.book(fixture.b.callersUrl, 'secret-1', 'cup-3', {}, '{"cup":8}');
    expect(other.error).toMatchObject({ kind: 'key_reused', ran: 'no' });
    expect(fixture.runs('cup-3')).toBe(1);
  });

  test('a lost response of the service leaves the outcome unknown, and no retry runs', async () => {
    fixture.service.setFault({ kind: 'lose_answer', method: 'POST', remaining: 1 });
    const first = await fixture.book(fixture.a, 'cup-4');
    expect(first.error).toMatchObject({ kind: 'outcome_unknown', ran: 'unknown' });
    const repeat = await fixture.book(fixture.b, 'cup-4', 600);
    expect(repeat.error).toMatchObject({ kind: 'claim_in_progress', ran: 'unknown' });
    expect(fixture.runs('cup-4')).toBe(1);
  });

  test('a call is reported as not run if the service refuses connections, and a retry runs', async () => {
    const { url } = fixture.service;
    const { version } = (await fixture.a.operator.row('pools', 'desk'))!;
    const unreachable = { targets: { shop: rows.service('http://127.0.0.1:9', 'khomas-a') } };
    const edited = await fixture.a.operator.set('pools', 'desk', version, unreachable);
    const first = await fixture.book(fixture.a, 'cup-5', 1_000);
    expect(first.error).toMatchObject({ ran: 'no' });
    const reachable = { targets: { shop: rows.service(url, 'khomas-a') } };
    await fixture.a.operator.set('pools', 'desk', edited.version!, reachable);
    await eventually(
      () => fixture.book(fixture.b, 'cup-5'),
      ({ status }) => status === 200,
    );
    expect(fixture.runs('cup-5')).toBe(1);
  });

  test('while the log is down a call is refused as not run, and it runs when the log is back', async () => {
    fixture.system.log.setFault({ kind: 'refuse' });
    const first = await fixture.book(fixture.a, 'cup-6', 800);
    expect(first.error).toMatchObject({ kind: 'log_unavailable', ran: 'no' });
    expect(fixture.runs('cup-6')).toBe(0);
    fixture.system.log.setFault({ kind: 'none' });
    const repeat = await fixture.book(fixture.b, 'cup-6');
    expect(repeat.status).toBe(200);
    expect(fixture.runs('cup-6')).toBe(1);
  });

  test('lost responses to log appends do not affect the caller', async () => {
    fixture.system.log.setFault({
      kind: 'lose_answer',
      method: 'POST',
      path: 'claims',
      remaining: 3,
    });
    const first = await fixture.book(fixture.a, 'cup-7', 4_000);
    expect(first.status).toBe(200);
    expect(fixture.runs('cup-7')).toBe(1);
  });

  test('a claim that is appended after its timeout blocks no retry', async () => {
    fixture.system.log.setFault({ kind: 'late_effect', method: 'POST', delayMs: 1_500 });
    const first = await fixture.book(fixture.a, 'cup-8', 800);
    expect(first.error).toMatchObject({ kind: 'log_unavailable', ran: 'no' });
    fixture.system.log.setFault({ kind: 'none' });
    await eventually(
      () => fixture.book(fixture.b, 'cup-8', 1_000),
      ({ status }) => status === 200,
      6_000,
    );
    expect(fixture.runs('cup-8')).toBe(1);
  });

  test('if the log fails between claim and outcome, the caller gets the response and no retry runs', async () => {
    fixture.service.setFault({ kind: 'slow', delayMs: 300, remaining: 1, method: 'POST' });
    const first = fixture.book(fixture.a, 'cup-9');
    await eventually(() => fixture.a.lines.some((line) => line.includes('routing_decision')));
    await new Promise((resolve) => {
      setTimeout(resolve, 150);
    });
    fixture.system.log.setFault({ kind: 'down' });
    expect((await first).status).toBe(200);
    const during = await fixture.book(fixture.b, 'cup-9', 500);
    expect(during.error?.ran).not.toBe('yes');
    fixture.system.log.setFault({ kind: 'none' });
    await eventually(
      () => fixture.book(fixture.b, 'cup-9'),
      ({ status }) => status === 200,
    );
    expect(fixture.runs('cup-9')).toBe(1);
  });
});

describe('a killed or frozen claim holder', () => {
  let system: ProcessSystem;
  let service: { url: string };
  let instances: Awaited<ReturnType<ProcessSystem['instance']>>[];
  const book = (index: number, key: string, deadlineMs = 3_000) =>
    call.book(instances[index].callersUrl, 'secret-1', key, {
      'x-deadline-ms': String(deadlineMs),
    });
  const runs = async (key: string) => {
    const state = (await (await fetch(`${service.url}/state`)).json()) as ServiceState;
    return state.runs[key] ?? 0;
  };
  const setFault = (url: string, body: object) =>
    fetch(`${url}/faults`, { method: 'POST', body: JSON.stringify(body) });
  beforeAll(async () => {
    system = await ProcessSystem.start(DOMAINS);
    service = await system.standin('service');
    instances = await Promise.all(
      ['entry-0', 'entry-1', 'entry-2'].map((name, index) =>
        system.instance({ name, failureDomain: DOMAINS[index % 2] }),
      ),
    );
    const { operator } = instances[0];
    await eventually(
      () => operator.status(),
      ({ ready }) => ready,
    );
    await operator.set('workspaces', 'omuriro', 0, rows.workspace());
    await operator.set('keys', 'k1', 0, rows.key('secret-1', 'omuriro'));
    const targets = { shop: rows.service(service.url, 'khomas-a') };
    await operator.set('pools', 'desk', 0, { targets });
    await operator.set('routes', 'bookings', 0, rows.booking('desk', ['omuriro']));
    for (const index of [0, 1, 2]) {
      await eventually(
        () => book(index, `warm-${index}`),
        ({ status }) => status === 200,
      );
    }
  });
  afterAll(() => system.stop());

  test('frozen between claim and dispatch until after the deadline: the call does not run, a retry does', async () => {
    await setFault(system.log.url, {
      kind: 'slow',
      method: 'POST',
      path: 'claims',
      delayMs: 400,
    });
    const first = book(1, 'frozen', 1_500);
    await systemClock.sleep(200);
    instances[1].process.signal('SIGSTOP');
    await setFault(system.log.url, { kind: 'none' });
    await systemClock.sleep(1_800);
    const during = await book(0, 'frozen', 500);
    expect(during.error).toMatchObject({ ran: 'unknown' });
    instances[1].process.signal('SIGCONT');
    expect((await first).error).toMatchObject({ ran: 'no' });
    expect(await runs('frozen')).toBe(0);
    await eventually(
      () => book(0, 'frozen'),
      ({ status }) => status === 200,
    );
    expect(await runs('frozen')).toBe(1);
  });

  test('killed after dispatch: the call runs at most once, and no retry runs it again', async () => {
    await setFault(service.url, { kind: 'slow', method: 'POST', delayMs: 600, remaining: 1 });
    const first = book(1, 'killed', 3_000).catch(() => undefined);
    await systemClock.sleep(300);
    instances[1].process.signal('SIGKILL');
    await first;
    const repeats = await Promise.all([book(0, 'killed', 1_500), book(2, 'killed', 1_500)]);
    expect(repeats.map(({ error }) => error?.ran)).toEqual(['unknown', 'unknown']);
    await systemClock.sleep(500);
    expect(await runs('killed')).toBeLessThanOrEqual(1);
  });
});
