/** A home's answer to `BudgetSync`. */
interface BudgetSyncReply {
  /** False if the called instance does not hold the role. */
  readonly isHome: boolean;
  readonly epoch: number;
  /** False if the session is not known any more; nothing lent in it may be spent. */
  readonly sessionKnown: boolean;
  /** All that was lent in the session. */
  readonly lentTotal: number;
  /** Time until the least loan can be there; `Infinity` if it never can. */
  readonly retryAfterMs: number;
}

export default BudgetSyncReply;
