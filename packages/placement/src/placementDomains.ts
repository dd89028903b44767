import type { ConfigState } from '@wisteriapath/config';
import { type Pool, rendezvousOrder, type Route, RouteKind } from '@wisteriapath/model';
import isInService from './isInService';

/**
 * Returns the failure domains that may serve a route, in the order in which they are asked. The
 * order for a model is the same for every instance, so that a burst leads to one decision. For a
 * service, the instance's own domain comes first.
 *
 * @example
 * const [home] = placementDomains(state, route, pool, 'khomas-a');
 */
const placementDomains = (
  state: ConfigState,
  route: Route,
  pool: Pool,
  ownDomain: string,
): readonly string[] => {
  const domains = new Set(Object.values(pool.targets).map((target) => target.failureDomain));
  const serving = [...domains].filter((domain) => isInService(state, domain));
  const key = route.kind === RouteKind.Model ? `${route.model}/${route.adapter ?? ''}` : ownDomain;
  const order = rendezvousOrder(key, serving);
  if (route.kind === RouteKind.Model || !order.includes(ownDomain)) return order;
  return [ownDomain, ...order.filter((domain) => domain !== ownDomain)];
};

export default placementDomains;
