import { rendezvousOrder } from '@wisteriapath/model';
import type { MemberRecord } from '@wisteriapath/fleet';

interface Peer {
  readonly member: MemberRecord;
  readonly isStopping: boolean;
}

/**
 * Place of an instance among the candidates for the lease of its failure domain; 0 is first. Larger machines
 * come before smaller ones.
 *
 * @example
 * candidateRank(self, peers.candidates);
 */
const candidateRank = (self: MemberRecord, peers: readonly Peer[]): number => {
  const others = peers
    .filter(({ member, isStopping }) => member.failureDomain === self.failureDomain && !isStopping)
    .map(({ member }) => member);
  // Giving orders costs processor time, and machines may differ much.
  const ofSize = (cores: number) =>
    others.filter((member) => member.cores === cores).map(({ name }) => name);
  const larger = others.filter(({ cores }) => cores > self.cores).length;
  const order = rendezvousOrder('placer', [...ofSize(self.cores), self.name]);
  return larger + order.indexOf(self.name);
};

export default candidateRank;
