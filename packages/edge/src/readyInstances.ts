import type DomainInstances from './DomainInstances';

/**
 * Returns how many other instances of this failure domain a balancer sends callers to, by what they said lately.
 *
 * @example
 * readyInstances(peers); // 0 if this is the only instance of its failure domain, or the others stop as well
 */
const readyInstances = ({ candidates }: DomainInstances): number =>
  candidates.filter(({ isReady, isStopping }) => isReady && !isStopping).length;

export default readyInstances;
