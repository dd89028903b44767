import type LoanWish from './LoanWish';

/** A borrower's call to the home of a workspace's budget. */
interface BudgetSyncRequest extends LoanWish {
  readonly workspace: string;
  readonly session: string;
  /** Epoch of the home that the session was begun with; 0 for a new session. */
  readonly epoch: number;
  readonly consumedTotal: number;
  readonly returnedTotal: number;
}

export default BudgetSyncRequest;
