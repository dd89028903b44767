/** An instance of the own protocol lives on, within its memory, and answers ordinary callers beside crowds of request bodies. */
import { readdirSync, readFileSync } from 'node:fs';
import { type CrowdGroup, startCrowd } from '@wisteriapath/standins';
import { request } from 'undici';
import ProcessSystem from '../support/ProcessSystem';
import eventually from '../support/eventually';
import rows from '../support/rows';

const DOMAIN = 'khomas-a';
/** Memory of the machine in these tests, as in the sample settings. */
const PEAK_LIMIT_MB = 350;
const KB_PER_MB = 1_024;
const DESCRIPTOR_LIMIT = 2_000;
const CROWD_MS = 8_000;
/** Deadline of the ordinary requests. */
const DEADLINE_MS = 20_000;
const OK = 200;
const TEST_LIMIT_MS = 120_000;

const LARGE_CHUNK = `10000\r\n${'x'.repeat(65_536)}\r\n`;
const SMALL_CHUNK = '1\r\nx\r\n';
const head =
  'POST /services/quotes/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret-1\r\nTransfer-Encoding: chunked\r\n\r\n';

interface Crowd {
  readonly what: string;
  readonly group: CrowdGroup;
}

const CROWDS: readonly Crowd[] = [
  {
    what: '60 clients with small chunks',
    group: { clients: 60, head, block: SMALL_CHUNK.repeat(300_000), times: 1 },
  },
  {
    what: '100 clients with small chunks that stay 20 ms',
    group: { clients: 100, head, block: SMALL_CHUNK.repeat(64_000), times: 1, stayMs: 20 },
  },
  {
    what: '400 clients with unfinished bodies in large chunks',
    group: { clients: 400, head, block: LARGE_CHUNK, times: 14 },
  },
  {
    what: '60 clients whose long bodies end in a malformed chunk',
    group: { clients: 60, head, block: LARGE_CHUNK, times: 14, tail: 'zz\r\n' },
  },
];

/** Starts an instance in front of a service. */
const startSystem = async () => {
  const system = await ProcessSystem.start([DOMAIN]);
  const service = await system.standin('service');
  const instance = await system.instance({ name: 'entry', failureDomain: DOMAIN });
  const { operator } = instance;
  await eventually(
    () => operator.status(),
    (status) => status.ready,
  );
  await operator.set('workspaces', 'omuriro', 0, rows.workspace());
  await operator.set('keys', 'k1', 0, rows.key('secret-1', 'omuriro'));
  const targets = { shop: rows.service(service.url, DOMAIN) };
  await operator.set('pools', 'desk', 0, { targets });
  const quotes = { kind: 'service', pool: 'desk', workspaces: ['omuriro'] };
  const { offset } = await operator.set('routes', 'quotes', 0, quotes);
  await eventually(
    () => operator.status(),
    (status) => status.configOffset >= offset,
  );
  return { system, instance };
};

type Instance = Awaited<ReturnType<typeof startSystem>>['instance'];

/** Sends one ordinary request; returns its status, 0 if no answer has come by its deadline. */
const callOnce = async ({ callersUrl }: Instance): Promise<number> => {
  try {
    const { statusCode, body } = await request(`${callersUrl}/services/quotes/1`, {
      headers: { authorization: 'Bearer secret-1', 'x-deadline-ms': `${DEADLINE_MS}` },
      signal: AbortSignal.timeout(DEADLINE_MS),
      reset: true,
    });
    await body.dump();
    return statusCode;
  } catch {
    return 0;
  }
};

/** Returns what the process of an instance uses; nothing if it has ended. */
const usageOf = ({ process: { child } }: Instance) => {
  if (child.exitCode !== null || child.signalCode !== null) {
    return { isAlive: false, peakMb: 0, descriptors: 0 };
  }
  const [, peakKb] =
    /^VmHWM:\s+(\d+) kB/m.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8')) ?? [];
  const descriptors = readdirSync(`/proc/${child.pid}/fd`).length;
  return { isAlive: true, peakMb: Number(peakKb) / KB_PER_MB, descriptors };
};

describe('crowds at an instance of the own protocol', () => {
  // Each guards against a crowd that fills the memory of the process, or keeps it from answering ordinary callers during it or after.
  test.each(CROWDS)(
    '$what',
    async ({ group }) => {
      const { system, instance } = await startSystem();
      const { hostname, port } = new URL(instance.callersUrl);
      const crowd = startCrowd(hostname, Number(port), [group]);
      try {
        await new Promise((resolve) => {
          setTimeout(resolve, CROWD_MS);
        });
        const statusDuring = await callOnce(instance);
        expect(crowd.isRunning()).toBe(true);
        await crowd.stop();
        const status = await callOnce(instance);
        const outcome = { ...usageOf(instance), statusDuring, status };
        expect(outcome).toMatchObject({ isAlive: true, statusDuring: OK, status: OK });
        expect(outcome.peakMb).toBeLessThan(PEAK_LIMIT_MB);
        expect(outcome.descriptors).toBeLessThan(DESCRIPTOR_LIMIT);
      } finally {
        await crowd.stop();
        await system.stop();
      }
    },
    TEST_LIMIT_MS,
  );
});
