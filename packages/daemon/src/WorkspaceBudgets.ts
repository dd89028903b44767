import { type BudgetLink, BorrowerAccount, WorkspaceBudget } from '@wisteriapath/ledger';
import { type Clock, rendezvousOrder } from '@wisteriapath/model';

interface Parts {
  readonly link: BudgetLink;
  readonly clock: Clock;
  readonly ownDomain: string;
  readonly failureDomains: readonly string[];
  /** Milliseconds for which borrowed tokens may be spent. */
  readonly usableMs: number;
}

/** Refreshes of the loans within the time for which borrowed tokens may be spent. */
const REFRESHES_PER_TERM = 3;

/** The token budgets of all workspaces that this instance has served, created on first use. */
class WorkspaceBudgets {
  private readonly budgets = new Map<string, WorkspaceBudget>();

  constructor(private readonly parts: Parts) {}

  get(workspace: string): WorkspaceBudget {
    const known = this.budgets.get(workspace);
    if (known !== undefined) return known;
    const { clock, usableMs } = this.parts;
    const accounts = this.orderedDomains(workspace).map((domain) =>
      this.createAccount(workspace, domain),
    );
    const refreshIntervalMs = usableMs / REFRESHES_PER_TERM;
    const budget = new WorkspaceBudget({
      workspace,
      accounts,
      clock,
      refreshIntervalMs,
    });
    this.budgets.set(workspace, budget);
    return budget;
  }

  /** Returns all unspent tokens to the budget homes. */
  async close(): Promise<void> {
    await Promise.all([...this.budgets.values()].map((budget) => budget.close()));
  }

  /** Returns the own failure domain, then the others in the workspace's rendezvous order. */
  private orderedDomains(workspace: string): string[] {
    const { ownDomain, failureDomains } = this.parts;
    const others = failureDomains.filter((domain) => domain !== ownDomain);
    return [ownDomain, ...rendezvousOrder(workspace, others)];
  }

  private createAccount(workspace: string, failureDomain: string): BorrowerAccount {
    const { link, clock, usableMs } = this.parts;
    return new BorrowerAccount({ workspace, failureDomain, link, clock, usableMs });
  }
}

export default WorkspaceBudgets;
