import type DomainInstances from './DomainInstances';
import readyInstances from './readyInstances';

/** Fraction of the instances of a failure domain below which a balancer uses those that are not ready as well. */
const LEAST_READY_FRACTION = 0.5;

/**
 * Returns whether callers whom this instance refuses come to another one that serves: at least half of the instances of its failure
 * domain are ready, by what they said lately. Callers reach other failure domains only once the balancer has turned away from this one.
 *
 * @example
 * isServedElsewhere(peers); // false if this is the only instance of its failure domain, or the others stop as well
 */
const isServedElsewhere = (peers: DomainInstances): boolean => {
  const ready = readyInstances(peers);
  const all = peers.domainPeers.length + 1;
  return ready > 0 && ready >= LEAST_READY_FRACTION * all;
};

export default isServedElsewhere;
