import { asFunction, type AwilixContainer } from 'awilix';
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
import type Cradle from './Cradle';
import Feeders from './Feeders';
import shareSuspects from './shareSuspects';

const DRIFT_SHARE = 0.05;
const RETRY_SHARE = 0.1;
const RETRIES_SAVED_UP = 10;
/** A placer that restarts is replaced within this time. */
const PLACER_GRACE_MS = 1_500;

const createFeeder = (cradle: Cradle, routeName: string): RouteQueue => {
  const { self, placerLink, clock, view, settings } = cradle;
  return new RouteQueue({
    routeName,
    instance: self.incarnation,
    link: placerLink,
    clock,
    slotUsableMs: settings.placement.lease_term_ms * (1 - DRIFT_SHARE),
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
 * Registers what carries requests to targets.
 *
 * @example
 * registerServing(container);
 */
const registerServing = (container: AwilixContainer<Cradle>): void => {
  const single = <T>(create: (cradle: Cradle) => T) => asFunction(create).singleton();
  container.register({
    feeders: single((cradle) => new Feeders((routeName) => createFeeder(cradle, routeName))),
    targetClient: single(
      ({ settings }) => new TargetClient({ silenceLimitMs: settings.requests.silence_limit_ms }),
    ),
    poison: single(
      ({ mesh, peerClients }) =>
        new PoisonRegistry((suspicions) => shareSuspects(mesh, peerClients, suspicions)),
    ),
    guardedTarget: single(
      ({ targetClient, poison }) => new GuardedTargetClient(targetClient, poison),
    ),
    retries: single(() => new RetryBudget({ share: RETRY_SHARE, most: () => RETRIES_SAVED_UP })),
    claimDesk: single(
      ({ log, clock, ids, claimShards }) =>
        new ClaimRegistry({ log, clock, ids, shards: claimShards }),
    ),
    routeCaller: single(
      ({ clock, view, feeders, logger }) =>
        new SlotAcquirer({
          clock,
          config: () => view().state,
          feederOf: (routeName) => feeders.of(routeName),
          logDecision: (event) => logger.info(event, 'routing_decision'),
        }),
    ),
    serviceCall: single(
      ({ clock, routeCaller, guardedTarget, claimDesk, retries, settings }) =>
        new ServiceCall({
          clock,
          slotAcquirer: routeCaller,
          targets: guardedTarget,
          claims: claimDesk,
          retries,
          answerMarginMs: settings.requests.answer_margin_ms,
        }),
    ),
  });
};

export default registerServing;
