import type { UnansweredRequest } from '@wisteriapath/response-ends';
import type InstanceComponents from './InstanceComponents';

type Parts = Pick<InstanceComponents, 'logger' | 'metrics'>;

/**
 * Returns a function that counts requests whose callers got no whole answer through this instance, and writes a line for each.
 *
 * @example
 * callers.watchUnanswered(recordUnanswered(components, () => isStopping));
 */
const recordUnanswered =
  ({ logger, metrics }: Parts, isStopping: () => boolean) =>
  ({ request, reason, detail, got, tookMs, underWay }: UnansweredRequest): void => {
    metrics.unansweredRequests.inc({ reason, got });
    const { method, url = '', complete: bodyArrived } = request;
    const [path] = url.split('?');
    const fields = { method, path, reason, detail, got, bodyArrived, tookMs, underWay };
    logger.warn({ ...fields, stopping: isStopping() }, 'caller_unanswered');
  };

export default recordUnanswered;
