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

interface Plan {
  readonly clock: Clock;
  readonly domains: number;
  readonly instances: number;
  readonly ratePerS: number;
  readonly burst: number;
  readonly deadlineMs: number;
  readonly tripMs: number;
}

const LOAN_USABLE_MS = 1_900;
const LOAN_LIFE_MS = 2_100;
const WRITE_OFF_MS = 60_000;
const REFRESHES_PER_TERM = 3;
const RETRY_MS = 20;
const FOR_EVER_MS = 1e12;

const bucketOf = (plan: Plan, share: number): EscrowBucket =>
  new EscrowBucket({ ratePerS: plan.ratePerS * share, burst: plan.burst * share }, plan.clock, {
    writeOffMs: FOR_EVER_MS,
    initialLevel: plan.burst * share,
    refillDelayMs: 0,
  });

/** One bucket, borrowed from by whoever asks first. */
class SharedBucket {
  private taken = 0;

  constructor(
    private readonly plan: Plan,
    private readonly bucket: EscrowBucket,
  ) {}

  async admit(tokens: number): Promise<boolean> {
    const deadline = Deadline.after(this.plan.clock, this.plan.deadlineMs);
    for (;;) {
      const total = this.bucket.lend('all', {
        leastTokens: tokens,
        neededTokens: tokens,
        mostTokens: tokens,
        mayQueue: false,
      });
      if (total > this.taken) {
        this.taken = total;
        this.bucket.settle('all', { consumed: total, returned: 0 });
        return true;
      }
      if (deadline.expired()) return false;
      await this.plan.clock.sleep(Math.min(RETRY_MS, deadline.remainingMs()));
    }
  }
}

const staticSplit = (plan: Plan): Limiter => {
  const buckets = Array.from(
    { length: plan.instances },
    () => new SharedBucket(plan, bucketOf(plan, 1 / plan.instances)),
  );
  return { admit: (instance, tokens) => buckets[instance].admit(tokens), messages: () => 0 };
};

const central = (plan: Plan): Limiter => {
  const bucket = new SharedBucket(plan, bucketOf(plan, 1));
  let messages = 0;
  return {
    admit: async (_instance, tokens) => {
      messages += 1;
      await plan.clock.sleep(plan.tripMs);
      return bucket.admit(tokens);
    },
    messages: () => messages,
  };
};

const escrow = (plan: Plan): Limiter => {
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
        loanLifetimeMs: LOAN_LIFE_MS,
      }),
  );
  const link = {
    sync: async (domain: string, request: BudgetSyncRequest) => {
      messages += 1;
      await clock.sleep(plan.tripMs);
      return Just(homes[Number(domain)].sync(request));
    },
  };
  const purses = Array.from({ length: instances }, (_unused, instance) => {
    const own = instance % domains;
    const order = homes.map((_home, domain) => domain).sort((a) => (a === own ? -1 : 1));
    const accounts = order.map(
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
      const reserved = await purses[instance].reserve(tokens, deadline);
      reserved.ifRight((reservation) => reservation.settle(tokens));
      return reserved.isRight();
    },
    messages: () => messages,
  };
};

/** The limiters that are compared. */
const limiters: Readonly<Record<string, (plan: Plan) => Limiter>> = {
  escrow,
  'static split': staticSplit,
  central,
};

export default limiters;
