import { asFunction, type AwilixContainer } from 'awilix';
import { getRow } from '@wisteriapath/config';
import { BudgetHome, RoleElector, TakeoverReason, type Tenure } from '@wisteriapath/ledger';
import { TableName } from '@wisteriapath/model';
import { HttpTargetControl, Placer } from '@wisteriapath/placement';
import type InstanceComponents from './InstanceComponents';
import GrpcBudgetLink from './GrpcBudgetLink';
import GrpcPlacerLink from './GrpcPlacerLink';
import WorkspaceBudgets from './WorkspaceBudgets';
import createDecisionRecorder from './createDecisionRecorder';
import hasPeerApplied from './hasPeerApplied';
import canOrderUnfenced from './canOrderUnfenced';
import roleNames from './roleNames';

const SECOND_MS = 1_000;
/** Probe intervals of silence after which the placer role is taken over without proof of death. */
const SILENCE_LIMIT_INTERVALS = 10;
/** Probe intervals for which a reply of the holder counts as recent. */
const RECENT_REPLY_INTERVALS = 2;
/** Renewals of a tenure within the retention of the log, so that its record does not expire. */
const RENEWALS_PER_RETENTION = 4;

const createRoleElector = (
  components: InstanceComponents,
  role: string,
  silenceLimitMs?: number,
): RoleElector => {
  const { self, log, rolesReplica, ids, clock, prover, peerMesh, settings, logger } = components;
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
      const listed = peerMesh.instances
        .filter((instance) => instance.failureDomain === self.failureDomain && !instance.leaving)
        .map((instance) => instance.name);
      return [...new Set([...listed, self.name])];
    },
    hasRecentHeartbeat: (incarnation) =>
      peerMesh.linked.some(
        (link) =>
          link.reply?.incarnation === incarnation &&
          link.silentMs() < roles.probe_interval_ms * RECENT_REPLY_INTERVALS,
      ),
    hasPeerApplied: (incarnation, offset) =>
      hasPeerApplied(peerMesh, rolesReplica.stream, incarnation, offset),
    onTaken: ({ epoch, reason }: Tenure) => logger.info({ role, epoch, reason }, 'role_taken'),
  });
};

/**
 * Registers the roles that an instance may hold (placer, budget home) and the links to their holders.
 *
 * @example
 * registerRoles(container);
 */
const registerRoles = (container: AwilixContainer<InstanceComponents>): void => {
  const singleton = <T>(create: (components: InstanceComponents) => T) =>
    asFunction(create).singleton();
  container.register({
    roleElectors: singleton((components) => {
      const { failureDomain } = components.self;
      const silenceLimitMs = components.settings.roles.probe_interval_ms * SILENCE_LIMIT_INTERVALS;
      return [
        createRoleElector(components, roleNames.placer(failureDomain), silenceLimitMs),
        createRoleElector(components, roleNames.budgetHome(failureDomain)),
      ];
    }),
    budgetHome: singleton(({ clock, settings, view, roleDirectory, rolesReplica, self }) => {
      const { budgets } = settings;
      const role = roleNames.budgetHome(self.failureDomain);
      return new BudgetHome({
        clock,
        domainCount: budgets.failure_domains.length,
        workspaceOf: (name) => getRow(view().state, TableName.Workspaces, name)?.value,
        heldEpoch: () => roleDirectory.heldEpoch(role),
        isFirstHolder: () => {
          const reason = rolesReplica.state.tenures.get(role)?.reason;
          return rolesReplica.hasFullHistory && reason === TakeoverReason.Vacant;
        },
        writeOffMs: budgets.write_off_ms,
        loanLifetimeMs: budgets.loan_term_ms + budgets.drift_margin_ms,
      });
    }),
    budgetLink: singleton(
      ({ roleDirectory, peerClients, budgetHome }) =>
        new GrpcBudgetLink(roleDirectory, peerClients, () => budgetHome),
    ),
    workspaceBudgets: singleton(({ budgetLink, clock, self, settings }) => {
      const { budgets } = settings;
      return new WorkspaceBudgets({
        link: budgetLink,
        clock,
        ownDomain: self.failureDomain,
        failureDomains: budgets.failure_domains,
        usableMs: budgets.loan_term_ms - budgets.drift_margin_ms,
      });
    }),
    targetControl: singleton(() => new HttpTargetControl()),
    placer: singleton((components) => {
      const { self, clock, targetControl, view, roleDirectory, settings } = components;
      const { placement } = settings;
      const role = roleNames.placer(self.failureDomain);
      return new Placer({
        failureDomain: self.failureDomain,
        clock,
        control: targetControl,
        config: () => view().state,
        heldEpoch: () => roleDirectory.heldEpoch(role),
        canOrderUnfenced: () => canOrderUnfenced(components, role),
        record: createDecisionRecorder(components),
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
    placerLink: singleton(
      ({ roleDirectory, peerClients, placer }) =>
        new GrpcPlacerLink(roleDirectory, peerClients, () => placer),
    ),
  });
};

export default registerRoles;
