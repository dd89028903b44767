import type { Clock } from '@wisteriapath/model';
import type DemandAggregator from './DemandAggregator';
import type DigestRow from './DigestRow';

interface Parts {
  readonly clock: Clock;
  readonly demand: Pick<DemandAggregator, 'speeds'>;
  /** Sends a digest to the instances of the placer's failure domain; absent where none is sent. */
  readonly sendDigest?: (rows: readonly DigestRow[]) => void;
}

const INTERVAL_MS = 500;

/** Sends what a placer knows of targets to its failure domain, at a limited rate and only if there is something to tell. */
class DigestSender {
  private sentAtMs = -Infinity;

  constructor(private readonly parts: Parts) {}

  /** Sends a digest if one is due; called while the placer holds the authority. */
  sendIfDue(): void {
    const { clock, demand, sendDigest } = this.parts;
    const nowMs = clock.nowMs();
    if (sendDigest === undefined || nowMs - this.sentAtMs < INTERVAL_MS) return;
    this.sentAtMs = nowMs;
    const rows = demand.speeds?.digest ?? [];
    if (rows.length > 0) sendDigest(rows);
  }
}

export default DigestSender;
