import { OperatorClient } from '@wisteriapath/cli';
import { parseSettings } from '@wisteriapath/config';
import { createLogger, startInstance } from '@wisteriapath/daemon';
import { sha256Hex, systemClock, TableName, type ZoneState } from '@wisteriapath/model';
import {
  loopbackSettings,
  startInstanceList,
  startLog,
  startService,
} from '@wisteriapath/standins';
import { request } from 'undici';

const TOKEN = 'bench-operator';
const SECRET = 'bench-key';
const POLL_INTERVAL_MS = 20;
const DOMAINS = ['domain-a', 'domain-b', 'domain-c'];

type RunningInstance = Awaited<ReturnType<typeof startInstance>>;
type Standin = Awaited<ReturnType<typeof startLog>>;

/** A system whose instances and stand-ins run in this process. */
interface System {
  readonly log: Standin;
  readonly instances: readonly RunningInstance[];
  readonly secret: string;
  /** Creates a row through one instance; resolves to the configuration offset that includes it. */
  set(instance: number, table: string, name: string, value: object): Promise<number>;
  /** Drains or restores a failure domain, whatever the version of its row. */
  setZone(instance: number, failureDomain: string, state: ZoneState): Promise<void>;
  /** Resolves to the configuration offset that an instance has applied. */
  configOffset(instance: number): Promise<number>;
  stop(): Promise<void>;
}

/**
 * Starts instances in three failure domains, with a booking service as the only target, and waits
 * until all are ready.
 *
 * @example
 * const system = await startSystem(6, { appendsPerS: 300 });
 */
const startSystem = async (count: number, logOptions: object = {}): Promise<System> => {
  const [log, list, service] = await Promise.all([
    startLog(logOptions),
    startInstanceList(),
    startService(),
  ]);
  const silent = createLogger('error', () => {});
  const instances = await Promise.all(
    Array.from({ length: count }, async (_unused, index) => {
      const name = `entry-${index}`;
      const failureDomain = DOMAINS[index % DOMAINS.length];
      const text = loopbackSettings({
        name,
        failureDomain,
        failureDomains: DOMAINS,
        logUrl: log.url,
        instanceListUrl: list.url,
        operatorToken: TOKEN,
      });
      const instance = await startInstance(parseSettings(name, text).unsafeCoerce(), silent);
      const body = JSON.stringify({ failureDomain, peerAddress: instance.peerAddress });
      await (await request(`${list.url}/instances/${name}`, { method: 'PUT', body })).body.dump();
      return instance;
    }),
  );
  const operators = instances.map(({ operatorsUrl }) => new OperatorClient(operatorsUrl, TOKEN));
  for (const operator of operators) {
    while (!(await operator.status()).ready) await systemClock.sleep(POLL_INTERVAL_MS);
  }
  const set = async (index: number, table: string, name: string, value: object) =>
    (await operators[index].set(table, name, 0, value)).offset;
  await set(0, 'workspaces', 'bench', { rateTokensPerS: 1e9, burstTokens: 1e9 });
  await set(0, 'keys', 'bench', { sha256: sha256Hex(SECRET), workspace: 'bench' });
  const shop = { kind: 'service', url: service.url, failureDomain: DOMAINS[0], capacity: 512 };
  await set(0, 'pools', 'desk', { targets: { shop } });
  const booking = { kind: 'service', pool: 'desk', workspaces: ['bench'], idempotent: false };
  await set(0, 'routes', 'bookings', booking);
  return {
    log,
    instances,
    secret: SECRET,
    set,
    setZone: async (index, failureDomain, state) => {
      const row = await operators[index].row(TableName.Zones, failureDomain);
      await operators[index].set(TableName.Zones, failureDomain, row?.version ?? 0, { state });
    },
    configOffset: async (index) => (await operators[index].status()).configOffset,
    stop: async () => {
      await Promise.all(instances.map((instance) => instance.stop()));
      await Promise.all([log.close(), list.close(), service.close()]);
    },
  };
};

export default startSystem;
