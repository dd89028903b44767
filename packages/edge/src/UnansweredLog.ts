import type { EventLog } from '@wisteriapath/fleet';
import type { Clock } from '@wisteriapath/model';
import type { UnansweredRequest } from '@wisteriapath/response-ends';
import type EdgeMetrics from './EdgeMetrics';

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: EdgeMetrics;
  readonly isStopping: () => boolean;
}

/** What only the instance knows of a request. */
interface Known {
  readonly id: string;
  /** How far it had come; empty if it was not handled. */
  readonly step: string;
}

const WINDOW_MS = 1_000;
/** Lines in one window: callers that send many requests at once must not fill the log. */
const LINES_PER_WINDOW = 100;

/** Counts the requests that were read and whose callers get no whole answer through this instance, and writes a line for each. */
class UnansweredLog {
  private windowEndMs = 0;

  private lines = 0;

  /** Requests without a line since the last line. */
  private untold = 0;

  constructor(private readonly parts: Parts) {}

  /** Takes note of a request. */
  record(unanswered: UnansweredRequest, known: Known): void {
    const { reason, got } = unanswered;
    this.parts.metrics.unansweredRequests.inc({ reason, got });
    if (this.mayWrite()) this.write(unanswered, known);
    else this.untold += 1;
  }

  private mayWrite(): boolean {
    const nowMs = this.parts.clock.nowMs();
    if (nowMs >= this.windowEndMs) {
      this.windowEndMs = nowMs + WINDOW_MS;
      this.lines = 0;
    }
    this.lines += 1;
    return this.lines <= LINES_PER_WINDOW;
  }

  private write(
    { request, reason, detail, got, tookMs, underWay }: UnansweredRequest,
    { id, step }: Known,
  ): void {
    this.parts.log.event('caller_unanswered', {
      request: id,
      reason,
      detail,
      got,
      step,
      body_arrived: request.complete,
      took_ms: Math.round(tookMs),
      under_way: underWay,
      stopping: this.parts.isStopping(),
      untold: this.untold,
    });
    this.untold = 0;
  }
}

export default UnansweredLog;
