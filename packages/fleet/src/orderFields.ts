import type WaitingModel from './WaitingModel';

/**
 * Returns the fields of a log line about a waiting model that say how urgent it is; none in pools that are not deferring.
 *
 * @example
 * log.event('load_put_off', { model, ...orderFields(order) });
 */
const orderFields = (order: WaitingModel['order']): Readonly<Record<string, number>> =>
  order === null
    ? {}
    : { priority: order.priority, slack_ms: Math.round(order.slackMs), rank: order.rank };

export default orderFields;
