import { type ClosedConnection, ClosedConnectionSummary } from '@wisteriapath/response-ends';
import type InstanceComponents from './InstanceComponents';

type Parts = Pick<InstanceComponents, 'logger' | 'metrics'>;

/**
 * Returns a function that counts the connections of callers that are closed because of a limit, and logs them in summary.
 *
 * @example
 * listener.limitUse(limits, recordClosed(components));
 */
const recordClosed = ({ logger, metrics }: Parts): ((closed: ClosedConnection) => void) => {
  const summary = new ClosedConnectionSummary((closed, count) => {
    logger.warn({ ...closed, count }, 'caller_connections_closed');
  });
  return (closed) => {
    metrics.closedConnections.inc({ reason: closed.reason });
    summary.record(closed);
  };
};

export default recordClosed;
