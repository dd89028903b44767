import { asFunction, type AwilixContainer } from 'awilix';
import { createBodyMemory } from '@wisteriapath/body-memory';
import { getRow } from '@wisteriapath/config';
import { RetryBudget, RouteKind, TableName } from '@wisteriapath/model';
import { placementDomains, RouteQueue } from '@wisteriapath/placement';
import {
  ClaimRegistry,
  GuardedTargetClient,
  PoisonRegistry,
  SlotAcquirer,
  ServiceCall,
  TargetClient,
} from '@wisteriapath/routing';
import type InstanceComponents from './InstanceComponents';
import RouteQueues from './RouteQueues';
import memoryLimitBytes from './memoryLimitBytes';
import shareSuspects from './shareSuspects';

/** Part of a lease term that is left unused, as the clocks of placer and instance may drift apart. */
const CLOCK_DRIFT_SHARE = 0.05;
/** Retries that each first request adds to the retry budget. */
const RETRIES_PER_REQUEST = 0.1;
const MAX_SAVED_RETRIES = 10;
/**
 * Time for which a model route waits for the placer of a failure domain before it asks the next
 * domain. A placer that restarts is replaced within this time.
 */
const PLACER_GRACE_MS = 1_500;

const createRouteQueue = (components: InstanceComponents, routeName: string): RouteQueue => {
  const { self, placerLink, clock, view, settings } = components;
  return new RouteQueue({
    routeName,
    instance: self.incarnation,
    link: placerLink,
    clock,
    slotUsableMs: settings.placement.lease_term_ms * (1 - CLOCK_DRIFT_SHARE),
    answerMarginMs: settings.requests.answer_margin_ms,
    placerGraceMs: () => {
      const route = getRow(view().state, TableName.Routes, routeName)?.value;
      return route?.kind === RouteKind.Model ? PLACER_GRACE_MS : 0;
    },
    domains: () => {
      const { state } = view();
      const route = getRow(state, TableName.Routes, routeName)?.value;
      const pool = route && getRow(state, TableName.Pools, route.pool)?.value;
      if (route === undefined || pool === undefined) return [];
      return placementDomains(state, route, pool, self.failureDomain);
    },
  });
};

/**
 * Registers the components that carry requests to targets.
 *
 * @example
 * registerServing(container);
 */
const registerServing = (container: AwilixContainer<InstanceComponents>): void => {
  const singleton = <T>(create: (components: InstanceComponents) => T) =>
    asFunction(create).singleton();
  container.register({
    bodyMemory: singleton(({ settings, logger }) =>
      createBodyMemory(memoryLimitBytes(settings), (body) =>
        logger.warn({ ...body }, 'memory_given_up'),
      ),
    ),
    routeQueues: singleton(
      (components) => new RouteQueues((routeName) => createRouteQueue(components, routeName)),
    ),
    targetClient: singleton(
      ({ settings }) => new TargetClient({ silenceLimitMs: settings.requests.silence_limit_ms }),
    ),
    poisonRegistry: singleton(
      ({ peerMesh, peerClients }) =>
        new PoisonRegistry((suspicions) => shareSuspects(peerMesh, peerClients, suspicions)),
    ),
    guardedTargetClient: singleton(
      ({ targetClient, poisonRegistry }) => new GuardedTargetClient(targetClient, poisonRegistry),
    ),
    retries: singleton(
      () =>
        new RetryBudget({
          retriesPerRequest: RETRIES_PER_REQUEST,
          maxSavedRetries: () => MAX_SAVED_RETRIES,
        }),
    ),
    claimRegistry: singleton(
      ({ log, clock, ids, claimShards }) =>
        new ClaimRegistry({ log, clock, ids, shards: claimShards }),
    ),
    slotAcquirer: singleton(
      ({ clock, view, routeQueues, logger }) =>
        new SlotAcquirer({
          clock,
          config: () => view().state,
          queueOf: (routeName) => routeQueues.get(routeName),
          logDecision: (event) => logger.info(event, 'routing_decision'),
        }),
    ),
    serviceCall: singleton(
      ({ clock, slotAcquirer, guardedTargetClient, claimRegistry, retries, settings }) =>
        new ServiceCall({
          clock,
          slotAcquirer,
          targets: guardedTargetClient,
          claims: claimRegistry,
          retries,
          answerMarginMs: settings.requests.answer_margin_ms,
        }),
    ),
  });
};

export default registerServing;
