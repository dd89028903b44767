import type { EventLog } from '@wisteriapath/fleet';
import type { ClosedConnection, CloseReason } from '@wisteriapath/response-ends';
import type EdgeMetrics from './EdgeMetrics';

/** Least time between two lines of one reason: a flood of connections would write one for each. */
const LINE_INTERVAL_MS = 1_000;

/** Counts the connections of callers that were closed because of a limit, and logs them in summary. */
class ClosedCallers {
  /** Connections that no line has told of yet, of the reasons that had a line within the interval. */
  private readonly untold = new Map<CloseReason, number>();

  constructor(
    private readonly log: EventLog,
    private readonly metrics: EdgeMetrics,
  ) {}

  /** Takes note of a connection that was closed. */
  record(closed: ClosedConnection): void {
    const { reason } = closed;
    this.metrics.closedConnections.inc({ reason });
    const untold = this.untold.get(reason);
    if (untold !== undefined) {
      this.untold.set(reason, untold + 1);
      return;
    }
    this.tell(closed, 1);
  }

  private tell(closed: ClosedConnection, count: number): void {
    const { reason, connections, limit } = closed;
    this.log.event('caller_connections_closed', { reason, count, connections, limit });
    this.untold.set(reason, 0);
    setTimeout(() => {
      const untold = this.untold.get(reason) ?? 0;
      this.untold.delete(reason);
      if (untold > 0) this.tell(closed, untold);
    }, LINE_INTERVAL_MS).unref();
  }
}

export default ClosedCallers;
