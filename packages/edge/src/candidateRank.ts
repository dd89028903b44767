import { rendezvousOrder } from '@wisteriapath/model';
import type { MemberRecord } from '@wisteriapath/fleet';

interface Peer {
  readonly member: MemberRecord;
  readonly isStopping: boolean;
}

/**
 * Returns the rank of an instance among the candidates for the lease of its failure domain; 0 is first. Machines
 * with more cores come first.
 *
 * @example
 * candidateRank(self, peers.candidates);
 */
const candidateRank = (self: MemberRecord, peers: readonly Peer[]): number => {
  const others = peers
    .filter(({ member, isStopping }) => member.failureDomain === self.failureDomain && !isStopping)
    .map(({ member }) => member);
  // Issuing orders costs CPU time, and machines may differ widely in cores.
  const namesWithCores = (cores: number) =>
    others.filter((member) => member.cores === cores).map(({ name }) => name);
  const larger = others.filter(({ cores }) => cores > self.cores).length;
  const order = rendezvousOrder('placer', [...namesWithCores(self.cores), self.name]);
  return larger + order.indexOf(self.name);
};

export default candidateRank;
