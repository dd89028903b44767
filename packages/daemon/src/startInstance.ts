import type { RequestListener } from 'node:http';
import { asValue, type AwilixContainer, createContainer, InjectionMode } from 'awilix';
import type { Logger } from 'pino';
import type { Settings } from '@wisteriapath/config';
import { RoleRecordKind } from '@wisteriapath/ledger';
import { appendUntilSettled, RecordIds, OutcomeKind } from '@wisteriapath/log-client';
import { Deadline, systemClock } from '@wisteriapath/model';
import { startPeerServer } from '@wisteriapath/peer';
import { callerConnectionLimits, readProcessLimits } from '@wisteriapath/response-ends';
import CallerApi from './CallerApi';
import type InstanceComponents from './InstanceComponents';
import InstancePeerHandlers from './InstancePeerHandlers';
import HttpListener from './HttpListener';
import Metrics from './Metrics';
import OperatorApi from './OperatorApi';
import type RunningInstance from './RunningInstance';
import describeInstance from './describeInstance';
import explainRoute from './explainRoute';
import memoryLimitBytes from './memoryLimitBytes';
import recordClosed from './recordClosed';
import recordUnanswered from './recordUnanswered';
import registerPlatform from './registerPlatform';
import registerRoles from './registerRoles';
import registerServing from './registerServing';
import writeCheckpoints from './writeCheckpoints';

const CONFIRM_DOWN_TIMEOUT_MS = 3_000;
const SHUTDOWN_STEP_TIMEOUT_MS = 5_000;
/** Time for operators' requests that are under way at a stop; an edit takes 8 s at most. */
const OPERATORS_TIMEOUT_MS = 9_000;

/** Replaces components of an instance; tests use it to inject failures. */
type OverrideComponents = (container: AwilixContainer<InstanceComponents>) => void;

const createComponents = (
  settings: Settings,
  logger: Logger,
  peerAddress: string,
  ids: RecordIds,
  overrideComponents: OverrideComponents,
) => {
  const container = createContainer<InstanceComponents>({ injectionMode: InjectionMode.PROXY });
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
  overrideComponents(container);
  return container.cradle;
};

/**
 * Records an operator's confirmation that an instance is down, which frees its roles. Resolves to false
 * if no tenure names the instance or the record is not known to be in the log.
 */
const confirmDown = async (components: InstanceComponents, name: string): Promise<boolean> => {
  const { rolesReplica, log, clock, ids } = components;
  const tenures = [...rolesReplica.state.tenures.values()];
  const holder = tenures.map((tenure) => tenure.holder).find((other) => other.name === name);
  if (holder === undefined) return false;
  const body = { kind: RoleRecordKind.Vouch, incarnation: holder.incarnation };
  const deadline = Deadline.after(clock, CONFIRM_DOWN_TIMEOUT_MS);
  const id = ids.next();
  const settled = await appendUntilSettled({ log, clock }, rolesReplica, id, body, deadline);
  return settled.kind === OutcomeKind.Accepted;
};

const registerGauges = ({ metrics, configReplica, routeQueues }: InstanceComponents): void => {
  const { ageMs } = configReplica;
  metrics.addGauge(
    'config_offset',
    'Next offset of the configuration stream; all records before it are in force',
    () => configReplica.nextOffset,
  );
  metrics.addGauge(
    'config_age_seconds',
    'Time since the configuration last equalled the end of the log',
    () => ageMs.call(configReplica) / 1_000,
  );
  metrics.addGauge(
    'waiting_requests',
    'Requests that wait for a slot on a target',
    () => routeQueues.waitingCount,
  );
};

const createCallerApi = (
  components: InstanceComponents,
  isReady: () => boolean,
  isStopping: () => boolean,
) =>
  new CallerApi({
    settings: components.settings,
    clock: components.clock,
    logger: components.logger,
    metrics: components.metrics,
    view: components.view,
    isReady,
    isStopping,
    waitingCount: () => components.routeQueues.waitingCount,
    bodyMemory: components.bodyMemory,
    budgetOf: (workspace) => components.workspaceBudgets.get(workspace),
    modelParts: {
      clock: components.clock,
      slotAcquirer: components.slotAcquirer,
      targets: components.guardedTargetClient,
      retries: components.retries,
    },
    serviceCall: components.serviceCall,
  });

const createOperatorApi = (components: InstanceComponents, isReady: () => boolean) =>
  new OperatorApi({
    clock: components.clock,
    logger: components.logger,
    metrics: components.metrics,
    log: components.log,
    ids: components.ids,
    config: components.configReplica,
    bodyMemory: components.bodyMemory,
    tokenSha256: components.settings.operators.token_sha256,
    status: () => describeInstance(components, isReady()),
    explain: (route) => explainRoute(components, route),
    confirmDown: (name) => confirmDown(components, name),
  });

const startTasks = (components: InstanceComponents): void => {
  components.configReplica.start();
  components.rolesReplica.start();
  components.claimShards.forEach((shard) => shard.start());
  components.peerMesh.start();
  components.roleElectors.forEach((elector) => elector.start());
  components.placer.start();
};

/** Releases budgets, claims and roles while the peer links and the log still work, then closes them. */
const stopTasks = async (components: InstanceComponents): Promise<void> => {
  await components.workspaceBudgets.close();
  await components.claimRegistry.close(Deadline.after(components.clock, SHUTDOWN_STEP_TIMEOUT_MS));
  await Promise.all(
    components.roleElectors.map((elector) => elector.release(SHUTDOWN_STEP_TIMEOUT_MS)),
  );
  components.placer.stop();
  components.peerMesh.stop();
  const replicas = [components.configReplica, components.rolesReplica, ...components.claimShards];
  await Promise.all(replicas.map((replica) => replica.stop()));
  await components.targetClient.close();
  await components.targetControl.close();
  await components.httpLog.close();
  await components.instanceList.close();
  components.peerClients.close();
};

/**
 * Starts an entry instance. It reports ready once it has caught up with the configuration and the
 * roles.
 *
 * @example
 * const instance = await startInstance(settings, logger);
 */
const startInstance = async (
  settings: Settings,
  logger: Logger,
  overrideComponents: OverrideComponents = () => {},
): Promise<RunningInstance> => {
  let isStopping = false;
  const ids = new RecordIds();
  // The peer server starts before the components, as they need its port; calls are refused until then.
  let handlers: InstancePeerHandlers | undefined;
  const whenStarted = <T>(call: (started: InstancePeerHandlers) => Promise<T>): Promise<T> =>
    handlers === undefined
      ? Promise.reject(new Error('the instance is still starting'))
      : call(handlers);
  const peers = await startPeerServer(settings.listen.peers, {
    hello: (request) => whenStarted((started) => started.hello(request)),
    syncBudget: (request) => whenStarted((started) => started.syncBudget(request)),
    acquire: (request) => whenStarted((started) => started.acquire(request)),
    shareSuspects: (request) => whenStarted((started) => started.shareSuspects(request)),
  });
  const peerAddress = `${settings.listen.peers.split(':')[0]}:${peers.port}`;
  const components = createComponents(settings, logger, peerAddress, ids, overrideComponents);
  const { self: identity, relayedStreams, budgetHome, placer, poisonRegistry } = components;
  handlers = new InstancePeerHandlers({
    identity,
    relayedStreams,
    budgetHome,
    placer,
    poisonRegistry,
  });

  const isReady = () => components.configReplica.isCaughtUp && components.rolesReplica.isCaughtUp;
  registerGauges(components);
  startTasks(components);
  const checkpointTask = new AbortController();
  void writeCheckpoints(components, checkpointTask.signal);
  const callerApi = createCallerApi(components, isReady, () => isStopping);
  const limits = callerConnectionLimits(readProcessLimits(memoryLimitBytes(settings)));
  const onClosed = recordClosed(components);
  const listen = async (address: string, handler: RequestListener) => {
    const listener = await HttpListener.open(address, handler, (bytes) =>
      logger.info({ address, ...bytes }, 'caller_unreadable'),
    );
    listener.limitUse(limits, onClosed);
    return listener;
  };
  const callers = await listen(settings.listen.callers, callerApi.app.callback());
  callers.watchUnanswered(recordUnanswered(components, () => isStopping));
  const operatorApi = createOperatorApi(components, isReady);
  const operators = await listen(settings.listen.operators, operatorApi.app.callback());
  logger.info({ callers: callers.url, operators: operators.url, peers: peerAddress }, 'started');

  const stopOnce = async (): Promise<void> => {
    isStopping = true;
    logger.info({}, 'stopping');
    await components.clock.sleep(settings.shutdown.balancer_lag_ms);
    await callers.close();
    const closed = new AbortController();
    const timeout = components.clock.sleep(OPERATORS_TIMEOUT_MS, closed.signal);
    await Promise.race([operators.close(), timeout]);
    closed.abort();
    operators.destroy();
    checkpointTask.abort();
    await stopTasks(components);
    peers.close();
    logger.info({}, 'stopped');
  };
  let stopped: Promise<void> | undefined;
  const stop = (): Promise<void> => {
    stopped ??= stopOnce();
    return stopped;
  };
  return { callersUrl: callers.url, operatorsUrl: operators.url, peerAddress, stop };
};

export default startInstance;
