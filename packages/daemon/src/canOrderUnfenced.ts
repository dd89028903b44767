import type InstanceComponents from './InstanceComponents';

const MAX_CONFIRMATION_AGE_MS = 3_000;

/**
 * Whether orders may go to targets that ignore fencing numbers: every earlier placer must be known
 * to be harmless, and the log or a peer must have confirmed the tenure lately.
 *
 * @example
 * canOrderUnfenced(components, 'placer/khomas-a');
 */
const canOrderUnfenced = (components: InstanceComponents, role: string): boolean => {
  const { rolesReplica, peerMesh, self } = components;
  const tenure = rolesReplica.state.tenures.get(role);
  if (tenure === undefined || tenure.unproved.length > 0) return false;
  if (rolesReplica.ageMs() < MAX_CONFIRMATION_AGE_MS) return true;
  const domainPeers = peerMesh.linked.filter(
    (link) => link.address.failureDomain === self.failureDomain,
  );
  if (domainPeers.length === 0) return true;
  return domainPeers.some((link) => link.silentMs() < MAX_CONFIRMATION_AGE_MS);
};

export default canOrderUnfenced;
