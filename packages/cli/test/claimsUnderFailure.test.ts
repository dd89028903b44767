/** Bookings: a non-idempotent call runs at most once, and a "not run" refusal is true. */
import { systemClock } from '@wisteriapath/model';
import { startService } from '@wisteriapath/standins';
import call from './support/call';
import eventually from './support/eventually';
import LocalSystem from './support/LocalSystem';
import ProcessSystem from './support/ProcessSystem';
import rows from './support/rows';

const DOMAINS = ['khomas-a', 'khomas-b'];

interface ServiceState {
  readonly runs: Readonly<Record<string, number>>;
}

const startDesk = async () => {
  const system = await LocalSystem.start(DOMAINS);
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

describe('bookings under failure', () => {
  let desk: Awaited<ReturnType<typeof startDesk>>;
  beforeEach(async () => {
    desk = await startDesk();
  });
  afterEach(() => desk.stop());

  test('twenty copies through two instances at once run once and get one answer', async () => {
    const answers = await Promise.all(
      Array.from({ length: 20 }, (_unused, copy) =>
        desk.book(copy % 2 === 0 ? desk.a : desk.b, 'cup-1'),
      ),
    );
    expect(new Set(answers.map(({ status, text }) => `${status} ${text}`)).size).toBe(1);
    expect(answers[0].status).toBe(200);
    expect(desk.runs('cup-1')).toBe(1);
  });

  test('a repeat through another instance gets the first outcome', async () => {
    const first = await desk.book(desk.a, 'cup-2');
    const repeat = await desk.book(desk.b, 'cup-2');
    expect([repeat.status, repeat.text]).toEqual([first.status, first.text]);
    expect(desk.runs('cup-2')).toBe(1);
  });

  test('the same key for another request is refused', async () => {
    await desk.book(desk.a, 'cup-3');
    const other = await call.book(desk.b.callersUrl, 'secret-1', 'cup-3', {}, '{"cup":8}');
    expect(other.error).toMatchObject({ kind: 'key_reused', ran: 'no' });
    expect(desk.runs('cup-3')).toBe(1);
  });

  test('a lost answer of the service leaves the outcome unknown, and no repeat runs', async () => {
    desk.service.setFault({ kind: 'lose_answer', method: 'POST', remaining: 1 });
    const first = await desk.book(desk.a, 'cup-4');
    expect(first.error).toMatchObject({ kind: 'outcome_unknown', ran: 'unknown' });
    const repeat = await desk.book(desk.b, 'cup-4', 600);
    expect(repeat.error).toMatchObject({ kind: 'claim_in_progress', ran: 'unknown' });
    expect(desk.runs('cup-4')).toBe(1);
  });

  test('a service that cannot be connected to ran nothing, and a repeat runs', async () => {
    const { url } = desk.service;
    const { version } = (await desk.a.operator.row('pools', 'desk'))!;
    const dead = { targets: { shop: rows.service('http://127.0.0.1:9', 'khomas-a') } };
    const edited = await desk.a.operator.set('pools', 'desk', version, dead);
    const first = await desk.book(desk.a, 'cup-5', 1_000);
    expect(first.error).toMatchObject({ ran: 'no' });
    const alive = { targets: { shop: rows.service(url, 'khomas-a') } };
    await desk.a.operator.set('pools', 'desk', edited.version!, alive);
    await eventually(
      () => desk.book(desk.b, 'cup-5'),
      ({ status }) => status === 200,
    );
    expect(desk.runs('cup-5')).toBe(1);
  });

  test('with the log down a booking is refused as not run, and runs once it is back', async () => {
    desk.system.log.setFault({ kind: 'refuse' });
    const first = await desk.book(desk.a, 'cup-6', 800);
    expect(first.error).toMatchObject({ kind: 'log_unavailable', ran: 'no' });
    expect(desk.runs('cup-6')).toBe(0);
    desk.system.log.setFault({ kind: 'none' });
    const repeat = await desk.book(desk.b, 'cup-6');
    expect(repeat.status).toBe(200);
    expect(desk.runs('cup-6')).toBe(1);
  });

  test('lost append answers change nothing for the caller', async () => {
    desk.system.log.setFault({
      kind: 'lose_answer',
      method: 'POST',
      path: 'claims',
      remaining: 3,
    });
    const first = await desk.book(desk.a, 'cup-7', 4_000);
    expect(first.status).toBe(200);
    expect(desk.runs('cup-7')).toBe(1);
  });

  test('a claim that arrives late after it was given up holds up no repeat', async () => {
    desk.system.log.setFault({ kind: 'late_effect', method: 'POST', delayMs: 1_500 });
    const first = await desk.book(desk.a, 'cup-8', 800);
    expect(first.error).toMatchObject({ kind: 'log_unavailable', ran: 'no' });
    desk.system.log.setFault({ kind: 'none' });
    await eventually(
      () => desk.book(desk.b, 'cup-8', 1_000),
      ({ status }) => status === 200,
      6_000,
    );
    expect(desk.runs('cup-8')).toBe(1);
  });

  test('the log going down between claim and outcome keeps the answer, and no repeat runs', async () => {
    desk.service.setFault({ kind: 'slow', delayMs: 300, remaining: 1, method: 'POST' });
    const first = desk.book(desk.a, 'cup-9');
    await eventually(() => desk.a.lines.some((line) => line.includes('routing_decision')));
    await new Promise((resolve) => {
      setTimeout(resolve, 150);
    });
    desk.system.log.setFault({ kind: 'down' });
    expect((await first).status).toBe(200);
    const during = await desk.book(desk.b, 'cup-9', 500);
    expect(during.error?.ran).not.toBe('yes');
    desk.system.log.setFault({ kind: 'none' });
    await eventually(
      () => desk.book(desk.b, 'cup-9'),
      ({ status }) => status === 200,
    );
    expect(desk.runs('cup-9')).toBe(1);
  });
});

describe('a holder that is killed or frozen', () => {
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
  const fault = (url: string, body: object) =>
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

  test('frozen between claim and dispatch past the deadline: nothing runs, a repeat does', async () => {
    await fault(system.log.url, {
      kind: 'slow',
      method: 'POST',
      path: 'claims',
      delayMs: 400,
    });
    const first = book(1, 'frozen', 1_500);
    await systemClock.sleep(200);
    instances[1].process.signal('SIGSTOP');
    await fault(system.log.url, { kind: 'none' });
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

  test('killed after dispatch: the call ran once, and no repeat runs it again', async () => {
    await fault(service.url, { kind: 'slow', method: 'POST', delayMs: 600, remaining: 1 });
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
