import { Just, type Maybe, Nothing } from 'purify-ts';
import VirtualClock from '@wisteriapath/virtual-clock';
import {
  BudgetHome,
  type BudgetSyncRequest,
  type BudgetSyncReply,
  BorrowerAccount,
} from '../../src';

/** One call of a borrower, and the way in which the network delivers it. */
interface SyncCall {
  readonly borrower: number;
  readonly want: number;
  readonly delivery: 'arrives' | 'request_lost' | 'reply_lost' | 'twice' | 'late';
}

interface Rules {
  readonly writeOffMs: number;
  readonly loanLifetimeMs: number;
  /** Whether a new home starts with full buckets, which is wrong. */
  readonly fullAfterTakeover: boolean;
  /** Whether a borrower keeps spending loans that it could not confirm, which is wrong. */
  readonly loansNeverExpire: boolean;
}

interface Use {
  readonly atMs: number;
  readonly tokens: number;
}

const RATE_PER_S = 100;
const BURST = 200;
const TERM_MS = 1_000;
const DRIFT_MS = 100;
const CORRECT_RULES: Rules = {
  writeOffMs: 3_000,
  loanLifetimeMs: TERM_MS + DRIFT_MS,
  fullAfterTakeover: false,
  loansNeverExpire: false,
};

/** One home and three borrowers on a simulated network that loses, repeats and delays messages. */
class EscrowSimulation {
  readonly clock = new VirtualClock();

  readonly uses: Use[] = [];

  private epoch = 1;

  private home: BudgetHome;

  private readonly accounts: readonly BorrowerAccount[];

  private delivery: SyncCall['delivery'] = 'arrives';

  private delayedRequests: BudgetSyncRequest[] = [];

  constructor(private readonly rules: Rules = CORRECT_RULES) {
    this.home = this.newHome();
    const usableMs = rules.loansNeverExpire ? Infinity : TERM_MS - DRIFT_MS;
    const link = { sync: (_domain: string, request: BudgetSyncRequest) => this.transmit(request) };
    const { clock } = this;
    const parts = { workspace: 'omuriro', failureDomain: 'khomas-a', clock, usableMs, link };
    this.accounts = [0, 1, 2].map(() => new BorrowerAccount(parts));
  }

  static get correctRules(): Rules {
    return CORRECT_RULES;
  }

  async sync({ borrower, want, delivery }: SyncCall): Promise<void> {
    this.delivery = delivery;
    const account = this.accounts[borrower];
    if (want === 0) account.returnSurplus(0);
    await account.sync({
      leastTokens: Math.min(want, 1),
      neededTokens: want,
      mostTokens: want,
      mayQueue: false,
    });
  }

  /** Reserves up to `tokens` of a borrower's balance and spends all but `unused` of them. */
  spend(borrower: number, tokens: number, unused: number): void {
    const taken = this.accounts[borrower].reserve(Math.floor(tokens));
    const used = Math.max(0, Math.floor(taken.tokens) - unused);
    taken.settle(used);
    if (used > 0) this.uses.push({ atMs: this.clock.nowMs(), tokens: used });
  }

  /** Returns whether a borrower must still report to the home. */
  mustReport(borrower: number): boolean {
    return this.accounts[borrower].hasOutstandingTokens;
  }

  /** Delivers the delayed messages in reverse order. */
  deliverDelayed(): void {
    this.delayedRequests
      .splice(0)
      .reverse()
      .forEach((request) => this.home.sync(request));
  }

  /** Replaces the home: it fails, and another instance takes over. */
  replaceHome(): void {
    this.epoch += 1;
    this.home = this.newHome();
  }

  /** Returns the largest excess of spent tokens over burst + rate × window in any window. */
  excessTokens(): number {
    return Math.max(
      0,
      ...this.uses.map((first, from) => {
        let spent = 0;
        return Math.max(
          ...this.uses.slice(from).map((use) => {
            spent += use.tokens;
            return spent - BURST - (RATE_PER_S * (use.atMs - first.atMs)) / 1_000;
          }),
        );
      }),
    );
  }

  private async transmit(request: BudgetSyncRequest): Promise<Maybe<BudgetSyncReply>> {
    if (this.delivery === 'request_lost') return Nothing;
    if (this.delivery === 'late') {
      this.delayedRequests.push(request);
      return Nothing;
    }
    if (this.delivery === 'twice') this.home.sync(request);
    const reply = this.home.sync(request);
    return this.delivery === 'reply_lost' ? Nothing : Just(reply);
  }

  private newHome(): BudgetHome {
    const { epoch, rules } = this;
    return new BudgetHome({
      clock: this.clock,
      domainCount: 1,
      workspaceOf: () => ({ rateTokensPerS: RATE_PER_S, burstTokens: BURST, weight: 1 }),
      isFirstHolder: () => epoch === 1 || rules.fullAfterTakeover,
      heldEpoch: () => epoch,
      writeOffMs: rules.writeOffMs,
      loanLifetimeMs: rules.loanLifetimeMs,
    });
  }
}

export default EscrowSimulation;
