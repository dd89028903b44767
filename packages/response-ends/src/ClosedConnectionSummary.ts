import type CloseReason from './CloseReason';
import type ClosedConnection from './ClosedConnection';

/** Tells of a number of connections that were closed for one reason, and of the last of them. */
type Tell = (closed: ClosedConnection, count: number) => void;

/** Least time between two reports of one reason: a flood of connections would give one for each. */
const REPORT_INTERVAL_MS = 1_000;

/**
 * Sums up the connections that were closed because of a limit.
 *
 * @example
 * const summary = new ClosedConnectionSummary(({ reason }, count) => log.event('closed', { reason, count }));
 * server.limitUse(limits, (closed) => summary.record(closed));
 */
class ClosedConnectionSummary {
  /** Connections that no report has told of yet, of the reasons that had one within the interval. */
  private readonly untold = new Map<CloseReason, number>();

  constructor(private readonly tell: Tell) {}

  /** Takes note of a connection that was closed. */
  record(closed: ClosedConnection): void {
    const { reason } = closed;
    const untold = this.untold.get(reason);
    if (untold !== undefined) {
      this.untold.set(reason, untold + 1);
      return;
    }
    this.report(closed, 1);
  }

  private report(closed: ClosedConnection, count: number): void {
    const { reason } = closed;
    this.tell(closed, count);
    this.untold.set(reason, 0);
    setTimeout(() => {
      const untold = this.untold.get(reason) ?? 0;
      this.untold.delete(reason);
      if (untold > 0) this.report(closed, untold);
    }, REPORT_INTERVAL_MS).unref();
  }
}

export default ClosedConnectionSummary;
