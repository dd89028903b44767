/** End-to-end tests: callers, instances, engines and services in separate processes. */
import { request } from 'undici';
import ProcessSystem from './support/ProcessSystem';
import call from './support/call';
import eventually from './support/eventually';
import rows from './support/rows';

const MAX_PROPAGATION_MS = 4_000;
const DOMAINS = ['khomas-a', 'khomas-b', 'khomas-c'];
/** Longer than a stop takes with nothing under way, and shorter than an edit may take. */
const SLOW_EDIT_MS = 1_500;

describe('end to end', () => {
  let system: ProcessSystem;
  let instances: Awaited<ReturnType<ProcessSystem['instance']>>[];
  let engineA: { url: string };
  let shop: { url: string };

  beforeAll(async () => {
    system = await ProcessSystem.start(DOMAINS);
    const [a, b, service] = await Promise.all([
      system.standin('engine'),
      system.standin('engine'),
      system.standin('service'),
    ]);
    engineA = a;
    shop = service;
    instances = await Promise.all(
      DOMAINS.map((failureDomain, index) =>
        system.instance({ name: `entry-${index}`, failureDomain }),
      ),
    );
    const { operator } = instances[0];
    await eventually(
      () => operator.status(),
      (status) => status.ready,
    );
    await operator.set('workspaces', 'omuriro', 0, rows.workspace());
    await operator.set('workspaces', 'clubs', 0, rows.workspace());
    await operator.set('keys', 'k1', 0, rows.key('secret-1', 'omuriro'));
    await operator.set('keys', 'k2', 0, rows.key('secret-2', 'clubs'));
    const targets = {
      'engine-a': rows.engine(a.url, 'khomas-a'),
      'engine-b': rows.engine(b.url, 'khomas-b'),
    };
    await operator.set('pools', 'guide-models', 0, { targets });
    const serviceTargets = { shop: rows.service(service.url, 'khomas-c') };
    await operator.set('pools', 'workshop-desk', 0, { targets: serviceTargets });
    await operator.set('routes', 'cup-guide', 0, rows.model('guide-models', ['omuriro']));
    await operator.set('routes', 'bookings', 0, rows.booking('workshop-desk', ['omuriro']));
    const { offset } = await operator.set('routes', 'quotes', 0, {
      kind: 'service',
      pool: 'workshop-desk',
      workspaces: ['omuriro'],
    });
    await Promise.all(
      instances.map((instance) =>
        eventually(
          () => instance.operator.status(),
          (status) => status.configOffset >= offset,
        ),
      ),
    );
  });

  afterAll(() => system.stop());

  test('every instance returns a complete response', async () => {
    const responses = await Promise.all(
      instances.map(({ callersUrl }) => call.complete(callersUrl, 'secret-1', {})),
    );
    expect(responses.map(({ status }) => status)).toEqual([200, 200, 200]);
    const texts = responses.map(
      ({ text }) => (JSON.parse(text) as { choices: { text: string }[] }).choices[0].text,
    );
    expect(texts).toMatchInlineSnapshot(`
     [
       "round0 file1 bowl2 base3 ",
       "round0 file1 bowl2 base3 ",
       "round0 file1 bowl2 base3 ",
     ]
    `);
  });

  test('a stream contains every token and the end marker', async () => {
    const { text } = await call.complete(instances[1].callersUrl, 'secret-1', { stream: true });
    expect(text.match(/^data: /gm)).toHaveLength(6);
    expect(text).toMatch(/data: \[DONE\]\n\n$/);
  });

  test('a service call is forwarded without the API key', async () => {
    const response = await call.raw(`${instances[0].callersUrl}/services/quotes/cups?size=2`, {
      headers: { authorization: 'Bearer secret-1' },
    });
    expect(response.status).toBe(200);
    expect(JSON.parse(response.text)).toMatchObject({ path: '/cups', method: 'GET' });
    const state = (await (await request(`${shop.url}/state`)).body.json()) as object;
    expect(state).toMatchObject({ sawTenantKey: false });
    const engine = (await (await request(`${engineA.url}/state`)).body.json()) as object;
    expect(engine).toMatchObject({ sawTenantKey: false });
  });

  test('a booking sent through all instances at once runs once', async () => {
    const responses = await Promise.all(
      instances.map(({ callersUrl }) => call.book(callersUrl, 'secret-1', 'cup-7')),
    );
    expect(responses.map(({ status }) => status)).toEqual([200, 200, 200]);
    expect(new Set(responses.map(({ text }) => text)).size).toBe(1);
    const { runs } = (await (await request(`${shop.url}/state`)).body.json()) as {
      runs: Record<string, number>;
    };
    expect(runs['cup-7']).toBe(1);
  });

  test('an edit through one instance is in force on all of them', async () => {
    const { operator } = instances[1];
    const startedAt = Date.now();
    await operator.set('routes', 'second-guide', 0, rows.model('guide-models', ['omuriro']));
    await Promise.all(
      instances.map(({ callersUrl }) =>
        eventually(
          () => call.complete(callersUrl, 'secret-1', { model: 'second-guide' }),
          ({ status }) => status === 200,
        ),
      ),
    );
    expect(Date.now() - startedAt).toBeLessThan(MAX_PROPAGATION_MS);
  });

  test('a withdrawn key stops working on all instances, also on open connections', async () => {
    const { operator } = instances[2];
    const { version } = await operator
      .set('keys', 'k3', 0, rows.key('secret-3', 'omuriro'))
      .then((edited) => ({ version: edited.version! }));
    await Promise.all(
      instances.map(({ callersUrl }) =>
        eventually(
          () => call.complete(callersUrl, 'secret-3', {}),
          ({ status }) => status === 200,
        ),
      ),
    );
    const startedAt = Date.now();
    await operator.remove('keys', 'k3', version);
    await Promise.all(
      instances.map(({ callersUrl }) =>
        eventually(
          () => call.complete(callersUrl, 'secret-3', {}),
          ({ status }) => status === 401,
        ),
      ),
    );
    expect(Date.now() - startedAt).toBeLessThan(MAX_PROPAGATION_MS);
  });

  test('every error response has the same body format', async () => {
    const { callersUrl } = instances[0];
    const authorization = 'Bearer secret-1';
    const post = (body: string, headers: object = {}) =>
      call.raw(`${callersUrl}/v1/completions`, {
        method: 'POST',
        headers: { authorization, ...headers },
        body,
      });
    const valid = JSON.stringify({ model: 'cup-guide', prompt: 'x', max_tokens: 1 });
    const responses = {
      wrongKey: await post(valid, { authorization: 'Bearer wrong' }),
      foreignWorkspace: await post(valid, { authorization: 'Bearer secret-2' }),
      unknownRoute: await post(JSON.stringify({ model: 'nothing', prompt: 'x' })),
      brokenJson: await post('{"model":'),
      overlongBody: await post('x'.repeat(1_100_000)),
      badHeader: await post(valid, { 'x-deadline-ms': 'soon' }),
      expiredDeadline: await post(valid, { 'x-deadline-ms': '0' }),
      noIdempotencyKey: await call.book(callersUrl, 'secret-1', ''),
    };
    const errors = Object.entries(responses).map(([name, { status, error }]) => {
      const { requestId, ...rest } = error ?? {};
      return [name, status, typeof requestId, rest];
    });
    expect(errors).toMatchInlineSnapshot(`
     [
       [
         "wrongKey",
         401,
         "string",
         {
           "kind": "unauthenticated",
           "message": "the key is not known",
           "ran": "no",
           "retryAfterMs": null,
         },
       ],
       [
         "foreignWorkspace",
         403,
         "string",
         {
           "kind": "forbidden",
           "message": "the key may not call this route",
           "ran": "no",
           "retryAfterMs": null,
         },
       ],
       [
         "unknownRoute",
         404,
         "string",
         {
           "kind": "unknown_route",
           "message": "there is no route nothing",
           "ran": "no",
           "retryAfterMs": null,
         },
       ],
       [
         "brokenJson",
         400,
         "string",
         {
           "kind": "bad_request",
           "message": "the body is not valid JSON",
           "ran": "no",
           "retryAfterMs": null,
         },
       ],
       [
         "overlongBody",
         413,
         "string",
         {
           "kind": "body_too_large",
           "message": "the body is over 1048576 bytes",
           "ran": "no",
           "retryAfterMs": null,
         },
       ],
       [
         "badHeader",
         400,
         "string",
         {
           "kind": "bad_request",
           "message": "x-deadline-ms must be a whole number of milliseconds",
           "ran": "no",
           "retryAfterMs": null,
         },
       ],
       [
         "expiredDeadline",
         504,
         "string",
         {
           "kind": "deadline_expired",
           "message": "the deadline has passed",
           "ran": "no",
           "retryAfterMs": 200,
         },
       ],
       [
         "noIdempotencyKey",
         400,
         "string",
         {
           "kind": "bad_request",
           "message": "this route needs an Idempotency-Key header",
           "ran": "no",
           "retryAfterMs": null,
         },
       ],
     ]
    `);
  });
});

describe('graceful shutdown', () => {
  test('completes all open streams and exits with 0', async () => {
    const system = await ProcessSystem.start(['khomas-a']);
    const engine = await system.standin('engine', { tokenMs: 20 });
    const instance = await system.instance({ name: 'entry-1', failureDomain: 'khomas-a' });
    const { operator, callersUrl } = instance;
    await eventually(
      () => operator.status(),
      (status) => status.ready,
    );
    await operator.set('workspaces', 'omuriro', 0, rows.workspace());
    await operator.set('keys', 'k1', 0, rows.key('secret-1', 'omuriro'));
    const targets = { e1: rows.engine(engine.url, 'khomas-a') };
    await operator.set('pools', 'guide-models', 0, { targets });
    await operator.set('routes', 'cup-guide', 0, rows.model('guide-models', ['omuriro']));
    await call.complete(callersUrl, 'secret-1', {});
    const streams = Array.from({ length: 12 }, () =>
      call.complete(callersUrl, 'secret-1', { stream: true, max_tokens: 30 }),
    );
    await new Promise((resolve) => {
      setTimeout(resolve, 150);
    });
    instance.process.signal('SIGTERM');
    instance.process.signal('SIGTERM');
    const responses = await Promise.all(streams);
    expect(responses.map(({ text }) => /\[DONE\]\n\n$/.test(text))).toEqual(Array(12).fill(true));
    expect(await instance.process.exited).toBe(0);
    await system.stop();
  });

  test('answers an operator whose edit is under way, and exits with 0', async () => {
    const system = await ProcessSystem.start(['khomas-a']);
    try {
      const instance = await system.instance({ name: 'entry-1', failureDomain: 'khomas-a' });
      const { operator } = instance;
      await eventually(
        () => operator.status(),
        (status) => status.ready,
      );
      const body = JSON.stringify({
        kind: 'slow',
        method: 'POST',
        delayMs: SLOW_EDIT_MS,
        remaining: 1,
      });
      await (await request(`${system.log.url}/faults`, { method: 'POST', body })).body.dump();
      const edit = operator.set('workspaces', 'omuriro', 0, rows.workspace());
      await new Promise((resolve) => {
        setTimeout(resolve, 150);
      });
      instance.process.signal('SIGTERM');
      expect(await edit).toMatchObject({ version: 1 });
      expect(await instance.process.exited).toBe(0);
    } finally {
      await system.stop();
    }
  });
});
