import type InstanceComponents from './InstanceComponents';

/** Age up to which the replica, or the last reply of a peer, confirms the tenure. */
const MAX_CONFIRMATION_AGE_MS = 3_000;

/**
 * Returns whether orders may be sent to targets that ignore fencing tokens. Every earlier placer must
 * be dead or know that it lost the role. The replica of the roles stream must be fresh, or a linked
 * peer of the failure domain, if there is any, must have answered recently.
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
