/** Configuration: an accepted edit is in force on all instances within seconds and is never reverted. */
import call from './support/call';
import eventually from './support/eventually';
import InProcessSystem from './support/InProcessSystem';
import rows from './support/rows';

const MAX_PROPAGATION_MS = 4_000;
const DOMAINS = ['khomas-a', 'khomas-b'];

const startTwoInstances = async (logOptions: object = {}) => {
  const system = await InProcessSystem.start(DOMAINS, logOptions);
  const [a, b] = await Promise.all([
    system.instance({ name: 'entry-a', failureDomain: 'khomas-a' }),
    system.instance({ name: 'entry-b', failureDomain: 'khomas-b' }),
  ]);
  return { system, a, b };
};

type TwoInstances = Awaited<ReturnType<typeof startTwoInstances>>;

const editOutcome = (work: Promise<unknown>) =>
  work.then(
    () => 'accepted',
    (error: Error) => error.message,
  );

const awaitRow = async (
  instance: TwoInstances['a'],
  table: string,
  name: string,
  isPresent = true,
) =>
  eventually(
    () => instance.operator.row(table, name),
    (row) => (row !== undefined) === isPresent,
    MAX_PROPAGATION_MS,
  );

describe('configuration under failure', () => {
  let pair: TwoInstances;
  afterEach(() => pair.system.stop());

  test('of two concurrent edits of one row, one is accepted and the other gets a conflict', async () => {
    pair = await startTwoInstances();
    const first = await pair.a.operator.set('workspaces', 'clubs', 0, rows.workspace(1));
    await awaitRow(pair.b, 'workspaces', 'clubs');
    const results = await Promise.all([
      editOutcome(pair.a.operator.set('workspaces', 'clubs', first.version!, rows.workspace(2))),
      editOutcome(pair.b.operator.set('workspaces', 'clubs', first.version!, rows.workspace(3))),
    ]);
    expect(results.filter((result) => result === 'accepted')).toHaveLength(1);
    expect(results.find((result) => result !== 'accepted')).toMatch(/the edit expected 1$/);
    const [inA, inB] = await Promise.all([
      pair.a.operator.row('workspaces', 'clubs'),
      pair.b.operator.row('workspaces', 'clubs'),
    ]);
    expect(inA).toEqual(inB);
  });

  test('an edit is made once if the responses to its appends are lost', async () => {
    pair = await startTwoInstances();
    pair.system.log.setFault({
      kind: 'lose_answer',
      method: 'POST',
      path: '/config/',
      remaining: 2,
    });
    const edited = await pair.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    const row = await awaitRow(pair.b, 'workspaces', 'clubs');
    expect(row?.version).toBe(edited.version);
    await pair.a.operator.set('workspaces', 'clubs', edited.version!, rows.workspace(5));
  });

  test('an append that takes effect after its timeout changes nothing', async () => {
    pair = await startTwoInstances();
    pair.system.log.setFault({
      kind: 'late_effect',
      method: 'POST',
      path: '/config/',
      delayMs: 10_000,
      remaining: 2,
    });
    const result = await editOutcome(
      pair.a.operator.set('workspaces', 'clubs', 0, rows.workspace()),
    );
    const row = await pair.b.operator.row('workspaces', 'clubs');
    expect([result === 'accepted', row !== undefined]).toEqual([true, true]);
    const removed = await pair.a.operator.remove('workspaces', 'clubs', row!.version);
    expect(removed.version).toBeNull();
    await new Promise((resolve) => {
      setTimeout(resolve, 10_500);
    });
    expect(await pair.b.operator.row('workspaces', 'clubs')).toBeUndefined();
  });

  test('while the log is down an edit is refused, and it can be made when the log is back', async () => {
    pair = await startTwoInstances();
    pair.system.log.setFault({ kind: 'refuse' });
    expect(await editOutcome(pair.a.operator.set('workspaces', 'clubs', 0, rows.workspace()))).toBe(
      'the log cannot be reached; the edit was not made',
    );
    pair.system.log.setFault({ kind: 'none' });
    await pair.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    await awaitRow(pair.b, 'workspaces', 'clubs');
  });

  test('an edit is reported as of unknown outcome if the log breaks the connection', async () => {
    pair = await startTwoInstances();
    pair.system.log.setFault({ kind: 'down' });
    const result = await editOutcome(
      pair.a.operator.set('workspaces', 'clubs', 0, rows.workspace()),
    );
    expect(result).toMatch(/^it is not known whether the edit was made; repeat it with x-edit-id/);
    pair.system.log.setFault({ kind: 'none' });
    await pair.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    await awaitRow(pair.b, 'workspaces', 'clubs');
  });

  test('a failure domain without access to the log receives edits from its peers', async () => {
    pair = await startTwoInstances();
    pair.b.setLogDisconnected(true);
    await pair.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    await awaitRow(pair.b, 'workspaces', 'clubs');
  });

  test('a failure domain without access to log and peers keeps its configuration, and catches up later', async () => {
    pair = await startTwoInstances();
    const { version } = await pair.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    await awaitRow(pair.b, 'workspaces', 'clubs');
    pair.b.setLogDisconnected(true);
    pair.system.setDomainDisconnected('khomas-b', true);
    await pair.a.operator.remove('workspaces', 'clubs', version!);
    expect(await pair.b.operator.row('workspaces', 'clubs')).toBeDefined();
    pair.b.setLogDisconnected(false);
    pair.system.setDomainDisconnected('khomas-b', false);
    await awaitRow(pair.b, 'workspaces', 'clubs', false);
  });

  test('an instance that starts while the log is down catches up from its peers', async () => {
    pair = await startTwoInstances();
    await pair.a.operator.set('workspaces', 'clubs', 0, rows.workspace());
    pair.system.log.setFault({ kind: 'down' });
    const late = await pair.system.instance({ name: 'entry-c', failureDomain: 'khomas-a' });
    await awaitRow(late, 'workspaces', 'clubs');
  });

  test('after records expire, a new instance starts from a checkpoint, and an old checkpoint reverts no instance', async () => {
    const system = await InProcessSystem.start(DOMAINS);
    const settings = {
      platform: { log_retention_s: 86_401 },
      roles: { checkpoint_interval_s: 1 },
    };
    const a = await system.instance({ name: 'entry-a', failureDomain: 'khomas-a', settings });
    pair = { system, a, b: a };
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
    system.setDomainDisconnected('khomas-b', true);
    const fresh = await system.instance({ name: 'entry-b', failureDomain: 'khomas-b' });
    expect(Object.keys(await fresh.operator.rows('workspaces'))).toEqual(['clubs', 'schools']);
    expect(Object.keys(await a.operator.rows('workspaces'))).toEqual(['clubs', 'schools']);
  });
});

describe('keys while the configuration is stale', () => {
  test('are accepted up to the staleness limit of the route, then refused; open routes stay available', async () => {
    const pair = await startTwoInstances();
    const { operator } = pair.a;
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
      const response = await call.raw(`${pair.b.callersUrl}/services/${route}/x`, { headers });
      return response.error?.kind ?? response.status;
    };
    await eventually(
      () => get('hours'),
      (result) => result === 200,
    );
    expect(await get('quotes')).toBe(200);
    pair.b.setLogDisconnected(true);
    pair.system.setDomainDisconnected('khomas-b', true);
    expect(await get('quotes')).toBe(200);
    await eventually(
      () => get('quotes'),
      (result) => result === 'keys_stale',
      MAX_PROPAGATION_MS,
    );
    expect(await get('hours')).toBe(200);
    await pair.system.stop();
    await service.close();
  });
});
