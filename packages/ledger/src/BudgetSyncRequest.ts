import type LoanRequest from './LoanRequest';

/** A borrower's request to a budget home: reports its totals and asks for a loan. */
interface BudgetSyncRequest extends LoanRequest {
  readonly workspace: string;
  /** Id of the borrower's session, within which the totals count. */
  readonly session: string;
  /** Epoch of the home with which the session began; 0 for a new session. */
  readonly epoch: number;
  /** Tokens that were spent in the session. */
  readonly consumedTotal: number;
  /** Tokens that were returned unspent in the session. */
  readonly returnedTotal: number;
}

export default BudgetSyncRequest;
