import type Heartbeat from './Heartbeat';
import type StorePosition from './StorePosition';
import StoreTopic from './StoreTopic';

type Ends = Pick<Heartbeat, 'operatorOffset' | 'operatorEra' | 'targetsOffset' | 'targetsEra'>;

/**
 * Returns the positions up to which the sender of a heartbeat knows the topics of the store. Instances of an earlier
 * build do not state the era.
 *
 * @example
 * const { operator, targets } = heartbeatEnds(heartbeat);
 */
const heartbeatEnds = ({
  operatorOffset,
  operatorEra = 0,
  targetsOffset,
  targetsEra = 0,
}: Ends): Readonly<Record<StoreTopic, StorePosition>> => ({
  [StoreTopic.Operator]: { era: operatorEra, offset: operatorOffset },
  [StoreTopic.Targets]: { era: targetsEra, offset: targetsOffset },
});

export default heartbeatEnds;
