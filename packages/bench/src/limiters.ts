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

const createBucket = (options: LimiterOptions, share: number): EscrowBucket =>
  new EscrowBucket(
    { ratePerS: options.ratePerS * share, burst: options.burst * share },
    options.clock,
    {
      writeOffMs: NO_WRITE_OFF_MS,
      initialLevel: options.burst * share,
      refillDelayMs: 0,
    },
  );

/** A token bucket without a queue: whichever request asks first gets tokens; others retry. */
class SharedBucket {
  private lentTotal = 0;

  constructor(
    private readonly options: LimiterOptions,
    private readonly bucket: EscrowBucket,
  ) {}

  async admit(tokens: number): Promise<boolean> {
    const deadline = Deadline.after(this.options.clock, this.options.deadlineMs);
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
      if (deadline.isExpired()) return false;
      await this.options.clock.sleep(Math.min(RETRY_INTERVAL_MS, deadline.remainingMs()));
    }
  }
}

const staticSplit = (options: LimiterOptions): Limiter => {
  const buckets = Array.from(
    { length: options.instances },
    () => new SharedBucket(options, createBucket(options, 1 / options.instances)),
  );
  return { admit: (instance, tokens) => buckets[instance].admit(tokens), messageCount: () => 0 };
};

const central = (options: LimiterOptions): Limiter => {
  const bucket = new SharedBucket(options, createBucket(options, 1));
  let messages = 0;
  return {
    admit: async (_instance, tokens) => {
      messages += 1;
      await options.clock.sleep(options.roundTripMs);
      return bucket.admit(tokens);
    },
    messageCount: () => messages,
  };
};

const escrow = (options: LimiterOptions): Limiter => {
  const { clock, domains, instances, ratePerS: rateTokensPerS, burst: burstTokens } = options;
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
      await clock.sleep(options.roundTripMs);
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
      const deadline = Deadline.after(clock, options.deadlineMs);
      const reserved = await workspaceBudgets[instance].reserve(tokens, deadline);
      reserved.ifRight((reservation) => reservation.settle(tokens));
      return reserved.isRight();
    },
    messageCount: () => messages,
  };
};

/** The limiters under comparison, by name. */
const limiters: Readonly<Record<string, (options: LimiterOptions) => Limiter>> = {
  escrow,
  'static split': staticSplit,
  central,
};

export default limiters;
