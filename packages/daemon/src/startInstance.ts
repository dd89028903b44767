import { asValue, type AwilixContainer, createContainer, InjectionMode } from 'awilix';
import type { Logger } from 'pino';
import type { Settings } from '@wisteriapath/config';
import { RoleRecordKind } from '@wisteriapath/ledger';
import { appendUntilSettled, RecordIds, SettlementKind } from '@wisteriapath/log-client';
import { Deadline, systemClock } from '@wisteriapath/model';
import { startPeerServer } from '@wisteriapath/peer';
import CallerApi from './CallerApi';
import type Cradle from './Cradle';
import InstancePeerHandlers from './InstancePeerHandlers';
import Listener from './Listener';
import Metrics from './Metrics';
import OperatorApi from './OperatorApi';
import type RunningInstance from './RunningInstance';
import describeInstance from './describeInstance';
import explainRoute from './explainRoute';
import registerPlatform from './registerPlatform';
import registerRoles from './registerRoles';
import registerServing from './registerServing';
import writeCheckpoints from './writeCheckpoints';

const VOUCH_TIMEOUT_MS = 3_000;
const FINISH_TIMEOUT_MS = 5_000;

/** Replaces parts of an instance, for tests that bring about failures. */
type Adapt = (container: AwilixContainer<Cradle>) => void;

const createCradle = (
  settings: Settings,
  logger: Logger,
  peerAddress: string,
  ids: RecordIds,
  adapt: Adapt,
) => {
  const container = createContainer<Cradle>({ injectionMode: InjectionMode.PROXY });
  const { name, failure_domain: failureDomain } = settings.instance;
  container.register({
    settings: asValue(settings),
    clock: asValue(systemClock),
    logger: asValue(logger),
    metrics: asValue(new Metrics()),
    ids: asValue(ids),
    self: asValue({ name, failureDomain, incarnation: ids.incarnation, address: peerAddress }),
  });
  registerPlatform(container);
  registerRoles(container);
  registerServing(container);
  adapt(container);
  return container.cradle;
};

/** Records that whatever the instance held is free; false if it holds nothing. */
const vouchDown = async (cradle: Cradle, name: string): Promise<boolean> => {
  const { rolesReplica, log, clock, ids } = cradle;
  const tenures = [...rolesReplica.state.tenures.values()];
  const holder = tenures.map((tenure) => tenure.holder).find((other) => other.name === name);
  if (holder === undefined) return false;
  const body = { kind: RoleRecordKind.Vouch, incarnation: holder.incarnation };
  const deadline = Deadline.after(clock, VOUCH_TIMEOUT_MS);
  const id = ids.next();
  const settled = await appendUntilSettled({ log, clock }, rolesReplica, id, body, deadline);
  return settled.kind === SettlementKind.Accepted;
};

const watchMetrics = ({ metrics, configReplica, feeders }: Cradle): void => {
  const { ageMs } = configReplica;
  metrics.gauge(
    'config_offset',
    'Offset up to which the configuration is in force',
    () => configReplica.nextOffset,
  );
  metrics.gauge(
    'config_age_seconds',
    'Age of the view of the configuration',
    () => ageMs.call(configReplica) / 1_000,
  );
  metrics.gauge('waiting_requests', 'Requests that wait for a target', () => feeders.waiting);
};

const createCallerApi = (cradle: Cradle, ready: () => boolean, stopping: () => boolean) =>
  new CallerApi({
    settings: cradle.settings,
    clock: cradle.clock,
    logger: cradle.logger,
    metrics: cradle.metrics,
    view: cradle.view,
    ready,
    stopping,
    waiting: () => cradle.feeders.waiting,
    purseOf: (workspace) => cradle.purses.of(workspace),
    modelParts: {
      clock: cradle.clock,
      slotAcquirer: cradle.routeCaller,
      targets: cradle.guardedTarget,
      retries: cradle.retries,
    },
    serviceCall: cradle.serviceCall,
  });

const createOperatorApi = (cradle: Cradle, ready: () => boolean) =>
  new OperatorApi({
    clock: cradle.clock,
    logger: cradle.logger,
    metrics: cradle.metrics,
    log: cradle.log,
    ids: cradle.ids,
    config: cradle.configReplica,
    tokenSha256: cradle.settings.operators.token_sha256,
    status: () => describeInstance(cradle, ready()),
    explain: (route) => explainRoute(cradle, route),
    vouchDown: (name) => vouchDown(cradle, name),
  });

const startTasks = (cradle: Cradle): void => {
  cradle.configReplica.start();
  cradle.rolesReplica.start();
  cradle.claimShards.forEach((shard) => shard.start());
  cradle.mesh.start();
  cradle.roleKeepers.forEach((keeper) => keeper.start());
  cradle.placer.start();
};

const stopTasks = async (cradle: Cradle): Promise<void> => {
  await cradle.purses.close();
  await cradle.claimDesk.close(Deadline.after(cradle.clock, FINISH_TIMEOUT_MS));
  await Promise.all(cradle.roleKeepers.map((keeper) => keeper.release(FINISH_TIMEOUT_MS)));
  cradle.placer.stop();
  cradle.mesh.stop();
  const replicas = [cradle.configReplica, cradle.rolesReplica, ...cradle.claimShards];
  await Promise.all(replicas.map((replica) => replica.stop()));
  await cradle.targetClient.close();
  await cradle.targetControl.close();
  await cradle.httpLog.close();
  await cradle.instanceList.close();
  cradle.peerClients.close();
};

/**
 * Starts an entry instance. It serves once it has caught up with the configuration.
 *
 * @example
 * const instance = await startInstance(settings, logger);
 */
const startInstance = async (
  settings: Settings,
  logger: Logger,
  adapt: Adapt = () => {},
): Promise<RunningInstance> => {
  let isStopping = false;
  const ids = new RecordIds();
  let handlers: InstancePeerHandlers | undefined;
  const whenStarted = <T>(call: (started: InstancePeerHandlers) => Promise<T>): Promise<T> =>
    handlers === undefined ? Promise.reject(new Error('starting')) : call(handlers);
  const peers = await startPeerServer(settings.listen.peers, {
    hello: (request) => whenStarted((started) => started.hello(request)),
    syncBudget: (request) => whenStarted((started) => started.syncBudget(request)),
    acquire: (request) => whenStarted((started) => started.acquire(request)),
    shareSuspects: (request) => whenStarted((started) => started.shareSuspects(request)),
  });
  const peerAddress = `${settings.listen.peers.split(':')[0]}:${peers.port}`;
  const cradle = createCradle(settings, logger, peerAddress, ids, adapt);
  const { self: identity, streams, budgetHome: home, placer, poison } = cradle;
  handlers = new InstancePeerHandlers({ identity, streams, home, placer, poison });

  const ready = () => cradle.configReplica.caughtUp && cradle.rolesReplica.caughtUp;
  watchMetrics(cradle);
  startTasks(cradle);
  const checkpointing = new AbortController();
  void writeCheckpoints(cradle, checkpointing.signal);
  const callerApi = createCallerApi(cradle, ready, () => isStopping);
  const callers = await Listener.open(settings.listen.callers, callerApi.app.callback());
  const operatorApi = createOperatorApi(cradle, ready);
  const operators = await Listener.open(settings.listen.operators, operatorApi.app.callback());
  logger.info({ callers: callers.url, operators: operators.url, peers: peerAddress }, 'started');

  const stop = async (): Promise<void> => {
    if (isStopping) return;
    isStopping = true;
    logger.info({}, 'stopping');
    await cradle.clock.sleep(settings.shutdown.balancer_lag_ms);
    await callers.close();
    checkpointing.abort();
    await stopTasks(cradle);
    operators.destroy();
    peers.close();
    logger.info({}, 'stopped');
  };
  return { callersUrl: callers.url, operatorsUrl: operators.url, peerAddress, stop };
};

export default startInstance;
