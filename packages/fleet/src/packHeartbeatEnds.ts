import type Heartbeat from './Heartbeat';
import type StorePosition from './StorePosition';
import StoreTopic from './StoreTopic';

type Ends = Pick<Heartbeat, 'operatorOffset' | 'operatorEra' | 'targetsOffset' | 'targetsEra'>;

const START: StorePosition = { era: 0, offset: 0 };

/**
 * Returns the fields of a heartbeat that `heartbeatEnds` reads: the positions up to which the sender knows the topics.
 *
 * @example
 * const fields = packHeartbeatEnds((topic) => view.end(topic));
 */
const packHeartbeatEnds = (end: (topic: StoreTopic) => StorePosition | undefined): Ends => {
  const operator = end(StoreTopic.Operator) ?? START;
  const targets = end(StoreTopic.Targets) ?? START;
  return {
    operatorOffset: operator.offset,
    operatorEra: operator.era,
    targetsOffset: targets.offset,
    targetsEra: targets.era,
  };
};

export default packHeartbeatEnds;
