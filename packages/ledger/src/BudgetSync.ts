/** A borrower's call to the home of a workspace's budget. */
interface BudgetSync {
  readonly workspace: string;
  readonly session: string;
  /** Epoch of the home that the session was begun with; 0 for a new session. */
  readonly epoch: number;
  readonly consumedTotal: number;
  readonly returnedTotal: number;
  /** Least loan that helps; nothing is lent below it. */
  readonly leastTokens: number;
  readonly mostTokens: number;
  /** Whether the borrower waits here for its turn. */
  readonly mayQueue: boolean;
}

export default BudgetSync;
