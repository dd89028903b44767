import { startEngine } from '@wisteriapath/standins';
import call from './call';
import eventually from './eventually';
import InProcessSystem from './InProcessSystem';
import rows from './rows';

const DOMAINS = ['khomas-a', 'khomas-b', 'khomas-c'];

interface Setup {
  readonly instancesPerDomain?: number;
  readonly engines: readonly { domain: string; options?: object; row?: object }[];
  readonly maxReplicas?: number;
  /** Settings of every instance, by section. */
  readonly settings?: Parameters<InProcessSystem['instance']>[0]['settings'];
}

/** Starts engines and instances over three failure domains, with one route to the engines. */
const startEngines = async (setup: Setup) => {
  const system = await InProcessSystem.start(DOMAINS);
  const engines = await Promise.all(setup.engines.map(({ options }) => startEngine(options)));
  const count = setup.instancesPerDomain ?? 1;
  const instances = await Promise.all(
    DOMAINS.flatMap((failureDomain) =>
      Array.from({ length: count }, (_unused, index) =>
        system.instance({
          name: `entry-${failureDomain}-${index}`,
          failureDomain,
          settings: setup.settings,
        }),
      ),
    ),
  );
  const { operator } = instances[0];
  await operator.set('workspaces', 'omuriro', 0, rows.workspace());
  await operator.set('keys', 'k1', 0, rows.key('secret-1', 'omuriro'));
  const targets = Object.fromEntries(
    setup.engines.map(({ domain, row }, index) => [
      `engine-${index}`,
      rows.engine(engines[index].url, domain, row),
    ]),
  );
  await operator.set('pools', 'guide', 0, { targets, maxReplicas: setup.maxReplicas ?? 1 });
  const awaitOffset = async (offset: number) => {
    await Promise.all(
      instances.map((instance) =>
        eventually(
          () => instance.operator.status(),
          (status) => status.configOffset >= offset,
        ),
      ),
    );
  };
  const addRoute = async (name: string, fields: object = {}) => {
    const { offset } = await operator.set(
      'routes',
      name,
      0,
      rows.model('guide', ['omuriro'], fields),
    );
    await awaitOffset(offset);
  };
  await addRoute('cup-guide');
  const decisions = () =>
    instances.flatMap(({ lines }) => lines.filter((line) => line.includes('placement_decision')));
  const sendRequest = (index: number, body: object = {}, headers: object = {}) =>
    call.complete(instances[index % instances.length].callersUrl, 'secret-1', body, headers);
  const stop = async () => {
    await system.stop();
    await Promise.all(engines.map((engine) => engine.close()));
  };
  return {
    system,
    engines,
    instances,
    operator,
    addRoute,
    awaitOffset,
    decisions,
    sendRequest,
    stop,
  };
};

export default startEngines;
