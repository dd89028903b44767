/** Configuration: an accepted edit holds everywhere within seconds and never reverts. */
import call from './support/call';
import eventually from './support/eventually';
import LocalSystem from './support/LocalSystem';
import rows from './support/rows';

const IN_FORCE_MS = 4_000;
const DOMAINS = ['khomas-a', 'khomas-b'];

const startTwo = async (logOptions: object = {}) => {
  const system = await LocalSystem.start(DOMAINS, logOptions);
  const [a, b] = await Promise.all([
    system.instance({ name: 'entry-a', failureDomain: 'khomas-a' }),
    system.instance({ name: 'entry-b', failureDomain: 'khomas-b' }),
  ]);
  return { system, a, b };
};

type Two = Awaited<ReturnType<typeof startTwo>>;

const outcome = (work: Promise<unknown>) =>
  work.then(
    () => 'accepted',
    (error: Error) => error.message,
  );

const inForce = async (instance: Two['a'], table: string, name: string, present = true) =>
  eventually(
    () => instance.operator.row(table, name),
    (row) => (row !== undefined) === present,
    IN_FORCE_MS,
  );

describe('configuration under failure', () => {
  let two: Two;
  afterEach(() => two.system.stop());

  test('of two operators who edit one row at once, one is told of the conflict', async () => {
    two = await startTwo();
    const first = await two.a.operator.set('workspaces', 'clubs', 0, rows.workspace(1));
    await inForce(two.b, 'workspaces', 'clubs');
    const results = await Promise.all([
      outcome(two.a.operator.set('workspaces', 'clubs', first.version!, rows.workspace(2))),
      outcome(two.b.operator.set('workspaces', 'clubs', first.version!, rows.workspace(3))),
    ]);
    expect(results.filter((result) => result === 'accepted')).toHaveLength(1);
    expect(results.find((result) => result !== 'accepted')).toMatch(/the edit expected 1$/);
    const [inA, inB] = await Promise.all([
      two.a.operator.row('workspaces', 'clubs'),
      two.b.operator.row('workspaces', 'clubs'),
    ]);
    expect(inA).toEqual(inB);
  });

  test('an edit whose append answer is lost is made once', async () => {
    two = await startTwo();
    two.system.log.setFault({
      kind: 'lose_answer',
      method: 'POST',
      path: '/config/',
      remaining: 2,
    });
    const edited = await two.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    const row = await inForce(two.b, 'workspaces', 'clubs');
    expect(row?.version).toBe(edited.version);
    await two.a.operator.set('workspaces', 'clubs', edited.version!, rows.workspace(5));
  });

  test('an append that arrives late after it was given up changes nothing', async () => {
    two = await startTwo();
    two.system.log.setFault({
      kind: 'late_effect',
      method: 'POST',
      path: '/config/',
      delayMs: 10_000,
      remaining: 2,
    });
    const result = await outcome(two.a.operator.set('workspaces', 'clubs', 0, rows.workspace()));
    const row = await two.b.operator.row('workspaces', 'clubs');
    expect([result === 'accepted', row !== undefined]).toEqual([true, true]);
    const removed = await two.a.operator.remove('workspaces', 'clubs', row!.version);
    expect(removed.version).toBeNull();
    await new Promise((resolve) => {
      setTimeout(resolve, 10_500);
    });
    expect(await two.b.operator.row('workspaces', 'clubs')).toBeUndefined();
  });

  test('with the log down an edit is refused, and can be made when it is back', async () => {
    two = await startTwo();
    two.system.log.setFault({ kind: 'refuse' });
    expect(await outcome(two.a.operator.set('workspaces', 'clubs', 0, rows.workspace()))).toBe(
      'the log cannot be reached; the edit was not made',
    );
    two.system.log.setFault({ kind: 'none' });
    await two.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    await inForce(two.b, 'workspaces', 'clubs');
  });

  test('an edit during an outage that breaks connections is never told wrongly', async () => {
    two = await startTwo();
    two.system.log.setFault({ kind: 'down' });
    const result = await outcome(two.a.operator.set('workspaces', 'clubs', 0, rows.workspace()));
    expect(result).toMatch(/^it is not known whether the edit was made; repeat it with x-edit-id/);
    two.system.log.setFault({ kind: 'none' });
    await two.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    await inForce(two.b, 'workspaces', 'clubs');
  });

  test('a domain cut off from the log keeps up through its peers', async () => {
    two = await startTwo();
    two.b.cutLog(true);
    await two.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    await inForce(two.b, 'workspaces', 'clubs');
  });

  test('a domain cut off from log and peers keeps its view, and catches up', async () => {
    two = await startTwo();
    const { version } = await two.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    await inForce(two.b, 'workspaces', 'clubs');
    two.b.cutLog(true);
    two.system.cutPeers('khomas-b', true);
    await two.a.operator.remove('workspaces', 'clubs', version!);
    expect(await two.b.operator.row('workspaces', 'clubs')).toBeDefined();
    two.b.cutLog(false);
    two.system.cutPeers('khomas-b', false);
    await inForce(two.b, 'workspaces', 'clubs', false);
  });

  test('an instance that starts while the log is down catches up from its peers', async () => {
    two = await startTwo();
    await two.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    two.system.log.setFault({ kind: 'down' });
    const late = await two.system.instance({ name: 'entry-c', failureDomain: 'khomas-a' });
    await inForce(late, 'workspaces', 'clubs');
  });

  test('records expire; a checkpoint carries a fresh instance, and an old one reverts nobody', async () => {
    const system = await LocalSystem.start(DOMAINS);
    const settings = {
      platform: { log_retention_s: 86_401 },
      roles: { checkpoint_interval_s: 1 },
    };
    const a = await system.instance({ name: 'entry-a', failureDomain: 'khomas-a', settings });
    two = { system, a, b: a };
    await a.operator.set('workspaces', 'clubs', 0, rows.workspace(1));
    await eventually(() => a.lines.some((line) => line.includes('checkpoint_written')));
    const early = await fetch(`${system.log.url}/streams/config-checkpoints/records?from=0`);
    const { records } = (await early.json()) as { records: { payload: string }[] };
    await a.operator.set('workspaces', 'schools', 0, rows.workspace(2));
    const seen = a.lines.filter((line) => line.includes('checkpoint_written')).length;
    await eventually(
      () => a.lines.filter((line) => line.includes('checkpoint_written')).length > seen + 1,
    );
    const newest = await fetch(`${system.log.url}/streams/config-checkpoints/records?from=0`);
    const kept = (await newest.json()) as { records: { payload: string }[] };
    system.log.setFault({ expire: true });
    const append = (payload: string) =>
      fetch(`${system.log.url}/streams/config-checkpoints/records`, {
        method: 'POST',
        body: JSON.stringify({ payloads: [payload] }),
      });
    await append(kept.records.at(-1)!.payload);
    await append(records[0].payload);
    system.cutPeers('khomas-b', true);
    const fresh = await system.instance({ name: 'entry-b', failureDomain: 'khomas-b' });
    expect(Object.keys(await fresh.operator.rows('workspaces'))).toEqual(['clubs', 'schools']);
    expect(Object.keys(await a.operator.rows('workspaces'))).toEqual(['clubs', 'schools']);
  });
});

describe('keys without a fresh view', () => {
  test('are served up to the route limit, then refused; open routes go on', async () => {
    const two = await startTwo();
    const { operator } = two.a;
    const { startService } = await import('@wisteriapath/standins');
    const service = await startService();
    await operator.set('workspaces', 'omuriro', 0, rows.workspace());
    await operator.set('keys', 'k1', 0, rows.key('secret-1', 'omuriro'));
    const targets = { shop: rows.service(service.url, 'khomas-b') };
    await operator.set('pools', 'desk', 0, { targets });
    const quotes = { kind: 'service', pool: 'desk', workspaces: ['omuriro'], staleKeysLimitS: 1 };
    await operator.set('routes', 'quotes', 0, quotes);
    await operator.set('routes', 'hours', 0, { ...quotes, open: true });
    const get = async (route: string) => {
      const headers = { authorization: 'Bearer secret-1' };
      const answer = await call.raw(`${two.b.callersUrl}/services/${route}/x`, { headers });
      return answer.error?.kind ?? answer.status;
    };
    await eventually(
      () => get('hours'),
      (result) => result === 200,
    );
    expect(await get('quotes')).toBe(200);
    two.b.cutLog(true);
    two.system.cutPeers('khomas-b', true);
    expect(await get('quotes')).toBe(200);
    await eventually(
      () => get('quotes'),
      (result) => result === 'keys_stale',
      IN_FORCE_MS,
    );
    expect(await get('hours')).toBe(200);
    await two.system.stop();
    await service.close();
  });
});
