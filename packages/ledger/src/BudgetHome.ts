import type { Clock, Workspace } from '@wisteriapath/model';
import type BudgetSyncRequest from './BudgetSyncRequest';
import type BudgetSyncReply from './BudgetSyncReply';
import EscrowBucket from './EscrowBucket';
import type EscrowLimits from './EscrowLimits';

interface Parts {
  readonly clock: Clock;
  /** Number of failure domains over which every workspace's budget is divided. */
  readonly domainCount: number;
  /** Returns the configuration of a workspace; undefined if it does not exist. */
  readonly workspaceOf: (name: string) => Workspace | undefined;
  /** Returns true only if no other process can ever have held the role. */
  readonly isFirstHolder: () => boolean;
  /** Returns the epoch of this instance's tenure; undefined while it does not hold the role. */
  readonly heldEpoch: () => number | undefined;
  /** Silence after which a borrower's tokens are written off as spent. */
  readonly writeOffMs: number;
  /** Time after a takeover for which borrowers may still spend loans of the previous holder. */
  readonly loanLifetimeMs: number;
}

const NOT_HOME: BudgetSyncReply = {
  isHome: false,
  epoch: 0,
  sessionKnown: false,
  lentTotal: 0,
  retryAfterMs: 0,
};

/** The lender of one failure domain's share of every workspace's tokens. */
class BudgetHome {
  private buckets = new Map<string, EscrowBucket>();

  private bucketsEpoch = 0;

  private epochStartedAtMs = 0;

  constructor(private readonly parts: Parts) {}

  /**
   * Settles the totals that a borrower reports, and lends to it.
   * Replies `isHome: false` while this instance does not hold the role.
   */
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

  /** Starts a new tenure with empty buckets, since the previous holder may have lent everything. */
  private beginEpoch(epoch: number): void {
    if (epoch === this.bucketsEpoch) return;
    this.buckets = new Map();
    this.bucketsEpoch = epoch;
    this.epochStartedAtMs = this.parts.clock.nowMs();
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
      refillDelayMs: this.parts.isFirstHolder() ? 0 : this.remainingLoanLifetimeMs(),
    });
    this.buckets.set(name, bucket);
    return bucket;
  }

  private remainingLoanLifetimeMs(): number {
    const sinceMs = this.parts.clock.nowMs() - this.epochStartedAtMs;
    return Math.max(0, this.parts.loanLifetimeMs - sinceMs);
  }
}

export default BudgetHome;
