import { type BudgetLink, BorrowerAccount, WorkspaceBudget } from '@wisteriapath/ledger';
import { type Clock, rendezvousOrder } from '@wisteriapath/model';

interface Parts {
  readonly link: BudgetLink;
  readonly clock: Clock;
  readonly ownDomain: string;
  readonly failureDomains: readonly string[];
  /** Time for which borrowed tokens may be spent. */
  readonly usableMs: number;
}

const REFRESHES_PER_TERM = 3;

/** The purses of the workspaces in use. */
class Purses {
  private readonly purses = new Map<string, WorkspaceBudget>();

  constructor(private readonly parts: Parts) {}

  of(workspace: string): WorkspaceBudget {
    const known = this.purses.get(workspace);
    if (known !== undefined) return known;
    const { clock, usableMs } = this.parts;
    const accounts = this.domainOrder(workspace).map((domain) => this.account(workspace, domain));
    const refreshMs = usableMs / REFRESHES_PER_TERM;
    const purse = new WorkspaceBudget({ workspace, accounts, clock, refreshIntervalMs: refreshMs });
    this.purses.set(workspace, purse);
    return purse;
  }

  /** Returns all unspent tokens. */
  async close(): Promise<void> {
    await Promise.all([...this.purses.values()].map((purse) => purse.close()));
  }

  private domainOrder(workspace: string): string[] {
    const { ownDomain, failureDomains } = this.parts;
    const others = failureDomains.filter((domain) => domain !== ownDomain);
    return [ownDomain, ...rendezvousOrder(workspace, others)];
  }

  private account(workspace: string, failureDomain: string): BorrowerAccount {
    const { link, clock, usableMs } = this.parts;
    return new BorrowerAccount({ workspace, failureDomain, link, clock, usableMs });
  }
}

export default Purses;
