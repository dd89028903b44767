import type MemberRecord from './MemberRecord';
import type StorePosition from './StorePosition';
import comparePositions from './comparePositions';

interface Peer {
  readonly member: MemberRecord;
  /** Position of the lease record under which it gives orders; `undefined` if it gives none. */
  readonly lease: StorePosition | undefined;
}

/**
 * Returns the peers that claim a lease, by its failure domain; of several claims the newest counts.
 *
 * @example
 * leaseClaimants(peers).get('a')?.name;
 */
const leaseClaimants = (peers: readonly Peer[]): ReadonlyMap<string, MemberRecord> => {
  const claims = peers.flatMap(({ member, lease }) =>
    lease === undefined ? [] : [{ member, lease }],
  );
  claims.sort((one, other) => comparePositions(one.lease, other.lease));
  return new Map(claims.map(({ member }) => [member.failureDomain, member]));
};

export default leaseClaimants;
