import { Just } from 'purify-ts';
import {
  BudgetHome,
  type BudgetSyncRequest,
  EscrowBucket,
  BorrowerAccount,
  WorkspaceBudget,
} from '@wisteriapath/ledger';
import { type Clock, Deadline } from '@wisteriapath/model';
import type Limiter from './Limiter';

interface LimiterOptions {
  readonly clock: Clock;
  readonly domains: number;
  readonly instances: number;
  readonly ratePerS: number;
  readonly burst: number;
  readonly deadlineMs: number;
  readonly roundTripMs: number;
}

const LOAN_USABLE_MS = 1_900;
const LOAN_LIFETIME_MS = 2_100;
const WRITE_OFF_MS = 60_000;
const REFRESHES_PER_TERM = 3;
const RETRY_INTERVAL_MS = 20;
const NO_WRITE_OFF_MS = 1e12;

const createBucket = (plan: LimiterOptions, share: number): EscrowBucket =>
  new EscrowBucket({ ratePerS: plan.ratePerS * share, burst: plan.burst * share }, plan.clock, {
    writeOffMs: NO_WRITE_OFF_MS,
    initialLevel: plan.burst * share,
    refillDelayMs: 0,
  });

/**
 * A token bucket that admits requests first come, first served; a request waits until its deadline.
 */
class SharedBucket {
  private lentTotal = 0;

  constructor(
    private readonly plan: LimiterOptions,
    private readonly bucket: EscrowBucket,
  ) {}

  async admit(tokens: number): Promise<boolean> {
    const deadline = Deadline.after(this.plan.clock, this.plan.deadlineMs);
    for (;;) {
      const newLentTotal = this.bucket.lend('all', {
        leastTokens: tokens,
        neededTokens: tokens,
        mostTokens: tokens,
        mayQueue: false,
      });
      if (newLentTotal > this.lentTotal) {
        this.lentTotal = newLentTotal;
        this.bucket.settle('all', { consumed: newLentTotal, returned: 0 });
        return true;
      }
      if (deadline.expired()) return false;
      await this.plan.clock.sleep(Math.min(RETRY_INTERVAL_MS, deadline.remainingMs()));
    }
  }
}

const staticSplit = (plan: LimiterOptions): Limiter => {
  const buckets = Array.from(
    { length: plan.instances },
    () => new SharedBucket(plan, createBucket(plan, 1 / plan.instances)),
  );
  return { admit: (instance, tokens) => buckets[instance].admit(tokens), messageCount: () => 0 };
};

const central = (plan: LimiterOptions): Limiter => {
  const bucket = new SharedBucket(plan, createBucket(plan, 1));
  let messages = 0;
  return {
    admit: async (_instance, tokens) => {
      messages += 1;
      await plan.clock.sleep(plan.roundTripMs);
      return bucket.admit(tokens);
    },
    messageCount: () => messages,
  };
};

const escrow = (plan: LimiterOptions): Limiter => {
  const { clock, domains, instances, ratePerS: rateTokensPerS, burst: burstTokens } = plan;
  let messages = 0;
  const homes = Array.from(
    { length: domains },
    () =>
      new BudgetHome({
        clock,
        domainCount: domains,
        workspaceOf: () => ({ rateTokensPerS, burstTokens, weight: 1 }),
        isFirstHolder: () => true,
        heldEpoch: () => 1,
        writeOffMs: WRITE_OFF_MS,
        loanLifetimeMs: LOAN_LIFETIME_MS,
      }),
  );
  const link = {
    sync: async (domain: string, request: BudgetSyncRequest) => {
      messages += 1;
      await clock.sleep(plan.roundTripMs);
      return Just(homes[Number(domain)].sync(request));
    },
  };
  const workspaceBudgets = Array.from({ length: instances }, (_unused, instance) => {
    const ownDomain = instance % domains;
    const domainOrder = homes
      .map((_home, domain) => domain)
      .sort((a) => (a === ownDomain ? -1 : 1));
    const accounts = domainOrder.map(
      (domain) =>
        new BorrowerAccount({
          workspace: 'omuriro',
          failureDomain: String(domain),
          link,
          clock,
          usableMs: LOAN_USABLE_MS,
        }),
    );
    const refreshMs = LOAN_USABLE_MS / REFRESHES_PER_TERM;
    return new WorkspaceBudget({
      workspace: 'omuriro',
      accounts,
      clock,
      refreshIntervalMs: refreshMs,
    });
  });
  return {
    admit: async (instance, tokens) => {
      const deadline = Deadline.after(clock, plan.deadlineMs);
      const reserved = await workspaceBudgets[instance].reserve(tokens, deadline);
      reserved.ifRight((reservation) => reservation.settle(tokens));
      return reserved.isRight();
    },
    messageCount: () => messages,
  };
};

/** The limiters under comparison, by name. */
const limiters: Readonly<Record<string, (plan: LimiterOptions) => Limiter>> = {
  escrow,
  'static split': staticSplit,
  central,
};

export default limiters;
