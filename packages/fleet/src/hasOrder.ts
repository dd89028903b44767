import type Demand from './Demand';

/**
 * Whether a demand says how urgent its requests are, as for deferring pools.
 *
 * @example
 * if (hasOrder(demand)) rank(demand.priority, demand.slackMs);
 */
const hasOrder = <T extends Partial<Demand>>(
  demand: T,
): demand is T & Required<Pick<Demand, 'priority' | 'slackMs'>> =>
  typeof demand.priority === 'number' && typeof demand.slackMs === 'number';

export default hasOrder;
