import { asFunction, type AwilixContainer } from 'awilix';
import { getRow } from '@wisteriapath/config';
import { BudgetHome, RoleElector, TakeoverReason, type Tenure } from '@wisteriapath/ledger';
import { TableName } from '@wisteriapath/model';
import { HttpTargetControl, Placer } from '@wisteriapath/placement';
import type Cradle from './Cradle';
import GrpcBudgetLink from './GrpcBudgetLink';
import GrpcPlacerLink from './GrpcPlacerLink';
import Purses from './Purses';
import createDecisionRecorder from './createDecisionRecorder';
import hasFolded from './hasFolded';
import mayOrderUnfenced from './mayOrderUnfenced';
import roleNames from './roleNames';

const SECOND_MS = 1_000;
const SILENT_PROBES = 10;
/** Heartbeats within which a holder counts as heard. */
const HEARD_WITHIN_PROBES = 2;
const RENEWALS_PER_RETENTION = 4;

const createKeeper = (cradle: Cradle, role: string, silenceLimitMs?: number): RoleElector => {
  const { self, log, rolesReplica, ids, clock, prover, mesh, settings, logger } = cradle;
  const { roles, platform } = settings;
  return new RoleElector({
    role,
    self,
    log,
    replica: rolesReplica,
    ids,
    clock,
    prover,
    silenceLimitMs,
    checkIntervalMs: roles.probe_interval_ms,
    renewIntervalMs: (platform.log_retention_s * SECOND_MS) / RENEWALS_PER_RETENTION,
    candidates: () => {
      const listed = mesh.instances
        .filter((instance) => instance.failureDomain === self.failureDomain && !instance.leaving)
        .map((instance) => instance.name);
      return [...new Set([...listed, self.name])];
    },
    hasRecentHeartbeat: (incarnation) =>
      mesh.linked.some(
        (link) =>
          link.reply?.incarnation === incarnation &&
          link.silentMs() < roles.probe_interval_ms * HEARD_WITHIN_PROBES,
      ),
    hasFolded: (incarnation, offset) => hasFolded(mesh, rolesReplica.stream, incarnation, offset),
    onTaken: ({ epoch, reason }: Tenure) => logger.info({ role, epoch, reason }, 'role_taken'),
  });
};

/**
 * Registers the roles that an instance may hold and the links to their holders.
 *
 * @example
 * registerRoles(container);
 */
const registerRoles = (container: AwilixContainer<Cradle>): void => {
  const single = <T>(create: (cradle: Cradle) => T) => asFunction(create).singleton();
  container.register({
    roleKeepers: single((cradle) => {
      const { failureDomain } = cradle.self;
      const silenceLimitMs = cradle.settings.roles.probe_interval_ms * SILENT_PROBES;
      return [
        createKeeper(cradle, roleNames.placer(failureDomain), silenceLimitMs),
        createKeeper(cradle, roleNames.budgetHome(failureDomain)),
      ];
    }),
    budgetHome: single(({ clock, settings, view, roles, rolesReplica, self }) => {
      const { budgets } = settings;
      const role = roleNames.budgetHome(self.failureDomain);
      return new BudgetHome({
        clock,
        domainCount: budgets.failure_domains.length,
        workspaceOf: (name) => getRow(view().state, TableName.Workspaces, name)?.value,
        heldEpoch: () => roles.heldEpoch(role),
        isFirstHolder: () => {
          const reason = rolesReplica.state.tenures.get(role)?.reason;
          return rolesReplica.hasWholeHistory && reason === TakeoverReason.Vacant;
        },
        writeOffMs: budgets.write_off_ms,
        loanLifetimeMs: budgets.loan_term_ms + budgets.drift_margin_ms,
      });
    }),
    budgetLink: single(
      ({ roles, peerClients, budgetHome }) =>
        new GrpcBudgetLink(roles, peerClients, () => budgetHome),
    ),
    purses: single(({ budgetLink, clock, self, settings }) => {
      const { budgets } = settings;
      return new Purses({
        link: budgetLink,
        clock,
        ownDomain: self.failureDomain,
        failureDomains: budgets.failure_domains,
        usableMs: budgets.loan_term_ms - budgets.drift_margin_ms,
      });
    }),
    targetControl: single(() => new HttpTargetControl()),
    placer: single((cradle) => {
      const { self, clock, targetControl, view, roles, settings } = cradle;
      const { placement } = settings;
      const role = roleNames.placer(self.failureDomain);
      return new Placer({
        failureDomain: self.failureDomain,
        clock,
        control: targetControl,
        config: () => view().state,
        heldEpoch: () => roles.heldEpoch(role),
        mayOrderUnfenced: () => mayOrderUnfenced(cradle, role),
        record: createDecisionRecorder(cradle),
        limits: {
          leaseTermMs: placement.lease_term_ms,
          pollIntervalMs: placement.poll_interval_ms,
          idleUnloadMs: placement.idle_unload_s * SECOND_MS,
          kvFloorShare: placement.kv_floor_share,
          storeLoadsAtOnce: placement.store_loads_at_once,
          adaptersInTransit: placement.adapters_in_transit,
        },
      });
    }),
    placerLink: single(
      ({ roles, peerClients, placer }) => new GrpcPlacerLink(roles, peerClients, () => placer),
    ),
  });
};

export default registerRoles;
