import type { Clock } from '@wisteriapath/model';
import type DemandAggregator from './DemandAggregator';
import type DigestRow from './DigestRow';
import type EventLog from './EventLog';

interface Parts {
  readonly clock: Clock;
  readonly demand: Pick<DemandAggregator, 'speeds'>;
  readonly log: EventLog;
  /** Sends a digest to the instances of the placer's failure domain; absent where none is sent. */
  readonly sendDigest?: (rows: readonly DigestRow[]) => void;
}

const INTERVAL_MS = 500;
/** Minimum time between two log lines. */
const LOG_INTERVAL_MS = 5_000;

/** Sends what a placer knows of targets to its failure domain, at a limited rate and only if there is something to tell. */
class DigestSender {
  private sentAtMs = -Infinity;

  private loggedAtMs = -Infinity;

  constructor(private readonly parts: Parts) {}

  /** Sends a digest if one is due; called while the placer holds the authority. */
  sendIfDue(): void {
    const { clock, demand, sendDigest } = this.parts;
    const nowMs = clock.nowMs();
    if (sendDigest === undefined || nowMs - this.sentAtMs < INTERVAL_MS) return;
    this.sentAtMs = nowMs;
    const rows = demand.speeds?.digest ?? [];
    if (rows.length === 0) return;
    sendDigest(rows);
    this.logRows(rows, nowMs);
  }

  private logRows(rows: readonly DigestRow[], nowMs: number): void {
    if (nowMs - this.loggedAtMs < LOG_INTERVAL_MS) return;
    this.loggedAtMs = nowMs;
    const [target, slowness, load, workTime] = rows[0];
    this.parts.log.event('target_digest', {
      rows: rows.length,
      target,
      slowness_percent: slowness,
      work_time_percent: workTime,
      load,
    });
  }
}

export default DigestSender;
