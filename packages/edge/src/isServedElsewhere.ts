import type DomainInstances from './DomainInstances';

/** Fraction of the instances of a failure domain below which a balancer uses those that are not ready as well. */
const LEAST_READY_FRACTION = 0.5;

/**
 * Returns whether callers whom this instance refuses come to another one that serves: at least half of the instances of its failure
 * domain are ready, by what they said lately. Callers reach other failure domains only once the balancer has turned away from this one.
 *
 * @example
 * isServedElsewhere(peers); // false if this is the only instance of its failure domain, or the others stop as well
 */
const isServedElsewhere = ({ candidates, domainPeers }: DomainInstances): boolean => {
  const ready = candidates.filter(({ isReady, isStopping }) => isReady && !isStopping).length;
  const all = domainPeers.length + 1;
  return ready > 0 && ready >= LEAST_READY_FRACTION * all;
};

export default isServedElsewhere;
