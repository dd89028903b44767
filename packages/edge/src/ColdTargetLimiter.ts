import type { Clock } from '@wisteriapath/model';
import type { EventLog, TargetView } from '@wisteriapath/fleet';
import type EdgeMetrics from './EdgeMetrics';
import type SharedLimits from './SharedLimits';
import coldRateShare from './coldRateShare';

/** The token bucket of one target. */
interface Bucket {
  /** Requests that may be sent now. */
  tokens: number;
  /** Maximum number of tokens that accumulate while no request asks for the target. */
  idleCapacity: number;
  refilledAtMs: number;
  /** Refusals since the last log line about them. */
  unloggedRefusals: number;
  loggedAtMs: number;
}

type Share = ReturnType<typeof coldRateShare>;

interface Dependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: EdgeMetrics;
  readonly limits: SharedLimits;
  /** Returns a random number between 0 and 1. */
  readonly random: () => number;
  /** Returns the number of instances that may be sending, including this one. */
  readonly instances: () => number;
}

/** Minimum time between two log lines about requests held back from one target. */
const REFUSAL_LOG_INTERVAL_MS = 500;
const MS_PER_S = 1_000;
/** Time after the start by which a process has learned from heartbeats how many instances there are. */
const PEER_DISCOVERY_MS = 1_000;
/** Time without a request for a target after which no request is assumed to be waiting for it. */
const IDLE_AFTER_MS = 100;

/** Limits the rate at which this instance sends requests to cold targets, with one token bucket per target. */
class ColdTargetLimiter {
  private readonly buckets = new Map<string, Bucket>();

  private readonly peersKnownAtMs: number;

  constructor(private readonly deps: Dependencies) {
    this.peersKnownAtMs = deps.clock.nowMs() + PEER_DISCOVERY_MS;
  }

  /**
   * Takes one token for a target that all instances together may send `coldPerS` requests a second;
   * returns false if none is left. Targets that are not cold have no limit.
   */
  tryTake(view: TargetView, coldPerS: number, request: string): boolean {
    const { clock, log, metrics, limits, instances } = this.deps;
    if (coldPerS <= 0 || view.coldUntilMs <= clock.nowMs()) return true;
    const instanceCount = instances();
    const share = coldRateShare(coldPerS, instanceCount, limits);
    const bucket = this.refilled(view, share);
    if (bucket.tokens < 1 || clock.nowMs() < this.peersKnownAtMs) {
      this.recordRefusal(view, bucket, instanceCount);
      return false;
    }
    bucket.tokens -= 1;
    bucket.idleCapacity = this.drawIdleCapacity(share);
    metrics.coldSends.inc({ pool: view.entry.pool });
    log.event('cold_send', {
      request,
      target: view.entry.id,
      cold_left_ms: Math.round(view.coldUntilMs - clock.nowMs()),
      left: bucket.tokens.toFixed(2),
      per_s: coldPerS,
      instances: instanceCount,
    });
    return true;
  }

  /** Drops the buckets of all targets except the given ones. */
  retain(ids: ReadonlySet<string>): void {
    this.buckets.forEach((_, id) => {
      if (!ids.has(id)) this.buckets.delete(id);
    });
  }

  private recordRefusal({ entry }: TargetView, bucket: Bucket, instances: number): void {
    const { clock, log, metrics } = this.deps;
    const nowMs = clock.nowMs();
    metrics.coldHeldBack.inc({ pool: entry.pool });
    const looks = bucket.unloggedRefusals + 1;
    const isDue = nowMs - bucket.loggedAtMs >= REFUSAL_LOG_INTERVAL_MS;
    Object.assign(
      bucket,
      isDue ? { unloggedRefusals: 0, loggedAtMs: nowMs } : { unloggedRefusals: looks },
    );
    if (!isDue) return;
    log.event('cold_held_back', {
      target: entry.id,
      looks,
      left: bucket.tokens.toFixed(2),
      instances,
    });
  }

  private refilled({ entry }: TargetView, share: Share): Bucket {
    const nowMs = this.deps.clock.nowMs();
    const known = this.buckets.get(entry.id);
    if (known === undefined) {
      const tokens = this.drawIdleCapacity(share);
      const bucket = {
        tokens,
        idleCapacity: tokens,
        refilledAtMs: nowMs,
        unloggedRefusals: 0,
        loggedAtMs: -Infinity,
      };
      this.buckets.set(entry.id, bucket);
      return bucket;
    }
    const elapsedMs = nowMs - known.refilledAtMs;
    const refill = (share.requestsPerS * elapsedMs) / MS_PER_S;
    const capacity = elapsedMs > IDLE_AFTER_MS ? Math.max(known.tokens, known.idleCapacity) : 1;
    known.tokens = Math.min(capacity, known.tokens + refill);
    known.refilledAtMs = nowMs;
    return known;
  }

  /** Returns how many tokens this instance may accumulate for a target before a request asks for it. */
  private drawIdleCapacity({ canSaveWholeToken }: Share): number {
    return canSaveWholeToken ? 1 : this.deps.random();
  }
}

export default ColdTargetLimiter;
