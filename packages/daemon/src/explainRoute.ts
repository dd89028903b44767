import { getRow } from '@wisteriapath/config';
import { TableName } from '@wisteriapath/model';
import { isInService, placementDomains } from '@wisteriapath/placement';
import type InstanceComponents from './InstanceComponents';
import roleNames from './roleNames';

/**
 * Returns where a call of a route would go now, and why; undefined for an unknown route.
 *
 * @example
 * explainRoute(components, 'cup-guide');
 */
const explainRoute = (components: InstanceComponents, routeName: string): object | undefined => {
  const { view, self, roleDirectory } = components;
  const { state } = view();
  const route = getRow(state, TableName.Routes, routeName)?.value;
  if (route === undefined) return undefined;
  const pool = getRow(state, TableName.Pools, route.pool)?.value;
  if (pool === undefined) {
    return { route: routeName, complete: false, reason: `pool ${route.pool} does not exist` };
  }
  const domains = placementDomains(state, route, pool, self.failureDomain);
  const targets = Object.entries(pool.targets).map(([target, { failureDomain }]) => ({
    target,
    failureDomain,
    inService: isInService(state, failureDomain),
  }));
  return {
    route: routeName,
    complete: true,
    order: domains.map((domain) => ({
      failureDomain: domain,
      placer: roleDirectory.holder(roleNames.placer(domain))?.name ?? null,
    })),
    targets,
    reason:
      route.model === ''
        ? 'services prefer targets in the failure domain of the instance'
        : 'rendezvous hash of the model over the failure domains in service',
  };
};

export default explainRoute;
