import type Heartbeat from './Heartbeat';
import type StorePosition from './StorePosition';

/**
 * Returns the position of the lease record under which the sender of a heartbeat gives orders; `undefined` if it gives
 * none. Instances of an earlier build do not state the era.
 *
 * @example
 * const claimed = heartbeatLease(heartbeat);
 */
const heartbeatLease = ({
  leaseOffset: offset,
  leaseEra: era = 0,
}: Pick<Heartbeat, 'leaseOffset' | 'leaseEra'>): StorePosition | undefined =>
  offset < 0 ? undefined : { era, offset };

export default heartbeatLease;
