import type { Clock, Workspace } from '@wisteriapath/model';
import type BudgetSyncRequest from './BudgetSyncRequest';
import type BudgetSyncReply from './BudgetSyncReply';
import EscrowBucket from './EscrowBucket';
import type EscrowLimits from './EscrowLimits';

interface Parts {
  readonly clock: Clock;
  /** Failure domains over which every workspace's budget is divided. */
  readonly domainCount: number;
  readonly workspaceOf: (name: string) => Workspace | undefined;
  /** Whether no process can ever have held the role before. */
  readonly isFirstHolder: () => boolean;
  /** Epoch of this instance's tenure; undefined while it does not hold the role. */
  readonly heldEpoch: () => number | undefined;
  readonly writeOffMs: number;
  /** Time for which loans of an earlier home may still be spent. */
  readonly loanLifetimeMs: number;
}

const NOT_HOME: BudgetSyncReply = {
  isHome: false,
  epoch: 0,
  sessionKnown: false,
  lentTotal: 0,
  retryAfterMs: 0,
};

/** Lends one failure domain's part of every workspace's tokens. */
class BudgetHome {
  private buckets = new Map<string, EscrowBucket>();

  private bucketsEpoch = 0;

  private epochSinceMs = 0;

  constructor(private readonly parts: Parts) {}

  sync(request: BudgetSyncRequest): BudgetSyncReply {
    const epoch = this.parts.heldEpoch();
    if (epoch === undefined) return NOT_HOME;
    this.beginEpoch(epoch);
    const bucket = this.bucketOf(request.workspace);
    if (bucket === undefined) return { ...NOT_HOME, isHome: true, epoch, retryAfterMs: Infinity };
    const { session, consumedTotal: consumed, returnedTotal: returned } = request;
    const sameEpoch = request.epoch === 0 || request.epoch === epoch;
    if (!sameEpoch || !bucket.settle(session, { consumed, returned })) {
      return { ...NOT_HOME, isHome: true, epoch };
    }
    const lentTotal = bucket.lend(session, request);
    const retryAfterMs = bucket.timeUntilMs(session, request.leastTokens);
    return { isHome: true, epoch, sessionKnown: true, lentTotal, retryAfterMs };
  }

  /** A later tenure begins with empty buckets: the earlier holder may have lent all it had. */
  private beginEpoch(epoch: number): void {
    if (epoch === this.bucketsEpoch) return;
    this.buckets = new Map();
    this.bucketsEpoch = epoch;
    this.epochSinceMs = this.parts.clock.nowMs();
  }

  private bucketOf(name: string): EscrowBucket | undefined {
    const workspace = this.parts.workspaceOf(name);
    if (workspace === undefined) return undefined;
    const limits: EscrowLimits = {
      ratePerS: workspace.rateTokensPerS / this.parts.domainCount,
      burst: workspace.burstTokens / this.parts.domainCount,
    };
    const known = this.buckets.get(name);
    if (known !== undefined) {
      known.setLimits(limits);
      return known;
    }
    const bucket = new EscrowBucket(limits, this.parts.clock, {
      writeOffMs: this.parts.writeOffMs,
      initialLevel: this.parts.isFirstHolder() ? limits.burst : 0,
      refillDelayMs: this.parts.isFirstHolder() ? 0 : this.remainingLoanLifeMs(),
    });
    this.buckets.set(name, bucket);
    return bucket;
  }

  private remainingLoanLifeMs(): number {
    const sinceMs = this.parts.clock.nowMs() - this.epochSinceMs;
    return Math.max(0, this.parts.loanLifetimeMs - sinceMs);
  }
}

export default BudgetHome;
