import type Cradle from './Cradle';

const CONFIRMED_WITHIN_MS = 3_000;

/**
 * Whether orders may go to targets that ignore fencing numbers: every earlier placer must be known
 * to be harmless, and the log or a peer must have confirmed the tenure lately.
 *
 * @example
 * mayOrderUnfenced(cradle, 'placer/khomas-a');
 */
const mayOrderUnfenced = (cradle: Cradle, role: string): boolean => {
  const { rolesReplica, mesh, self } = cradle;
  const tenure = rolesReplica.state.tenures.get(role);
  if (tenure === undefined || tenure.unproved.length > 0) return false;
  if (rolesReplica.ageMs() < CONFIRMED_WITHIN_MS) return true;
  const neighbours = mesh.linked.filter(
    (link) => link.address.failureDomain === self.failureDomain,
  );
  if (neighbours.length === 0) return true;
  return neighbours.some((link) => link.silentMs() < CONFIRMED_WITHIN_MS);
};

export default mayOrderUnfenced;
