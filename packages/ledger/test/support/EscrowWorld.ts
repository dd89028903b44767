import { Just, type Maybe, Nothing } from 'purify-ts';
import VirtualClock from '@wisteriapath/virtual-clock';
import {
  BudgetHome,
  type BudgetSyncRequest,
  type BudgetSyncReply,
  BorrowerAccount,
} from '../../src';

/** One call of a borrower, and what the network does to it. */
interface Trip {
  readonly borrower: number;
  readonly want: number;
  readonly fate: 'arrives' | 'request_lost' | 'reply_lost' | 'twice' | 'late';
}

interface Rules {
  readonly writeOffMs: number;
  readonly loanLifeMs: number;
  /** Whether a home that takes over begins with full buckets, which is wrong. */
  readonly fullAfterTakeover: boolean;
  /** Whether a borrower goes on using loans that it could not confirm, which is wrong. */
  readonly usableForEver: boolean;
}

interface Use {
  readonly atMs: number;
  readonly tokens: number;
}

const RATE_PER_S = 100;
const BURST = 200;
const TERM_MS = 1_000;
const DRIFT_MS = 100;
const SOUND: Rules = {
  writeOffMs: 3_000,
  loanLifeMs: TERM_MS + DRIFT_MS,
  fullAfterTakeover: false,
  usableForEver: false,
};

/** One home and three borrowers on a network that loses, repeats and delays. */
class EscrowWorld {
  readonly clock = new VirtualClock();

  readonly uses: Use[] = [];

  private epoch = 1;

  private home: BudgetHome;

  private readonly accounts: readonly BorrowerAccount[];

  private fate: Trip['fate'] = 'arrives';

  private late: BudgetSyncRequest[] = [];

  constructor(private readonly rules: Rules = SOUND) {
    this.home = this.newHome();
    const usableMs = rules.usableForEver ? Infinity : TERM_MS - DRIFT_MS;
    const link = { sync: (_domain: string, request: BudgetSyncRequest) => this.carry(request) };
    const { clock } = this;
    const parts = { workspace: 'omuriro', failureDomain: 'khomas-a', clock, usableMs, link };
    this.accounts = [0, 1, 2].map(() => new BorrowerAccount(parts));
  }

  static get sound(): Rules {
    return SOUND;
  }

  async sync({ borrower, want, fate }: Trip): Promise<void> {
    this.fate = fate;
    const account = this.accounts[borrower];
    if (want === 0) account.giveBack(0);
    await account.sync({
      leastTokens: Math.min(want, 1),
      neededTokens: want,
      mostTokens: want,
      mayQueue: false,
    });
  }

  /** Spends up to `tokens` of a borrower's balance, of which a part is given back unused. */
  spend(borrower: number, tokens: number, unused: number): void {
    const taken = this.accounts[borrower].take(Math.floor(tokens));
    const used = Math.max(0, Math.floor(taken.tokens) - unused);
    taken.settle(used);
    if (used > 0) this.uses.push({ atMs: this.clock.nowMs(), tokens: used });
  }

  /** Whether the home must still hear of what a borrower did. */
  mustReport(borrower: number): boolean {
    return this.accounts[borrower].active;
  }

  /** Messages that were held back arrive now, in reverse order. */
  deliverLate(): void {
    this.late
      .splice(0)
      .reverse()
      .forEach((request) => this.home.sync(request));
  }

  /** The home dies and another instance takes over. */
  replaceHome(): void {
    this.epoch += 1;
    this.home = this.newHome();
  }

  /** The most by which any window saw more spent than burst + rate × window. */
  excess(): number {
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

  private async carry(request: BudgetSyncRequest): Promise<Maybe<BudgetSyncReply>> {
    if (this.fate === 'request_lost') return Nothing;
    if (this.fate === 'late') {
      this.late.push(request);
      return Nothing;
    }
    if (this.fate === 'twice') this.home.sync(request);
    const reply = this.home.sync(request);
    return this.fate === 'reply_lost' ? Nothing : Just(reply);
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
      loanLifetimeMs: rules.loanLifeMs,
    });
  }
}

export default EscrowWorld;
