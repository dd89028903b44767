/** A budget home's reply to a `BudgetSyncRequest`. */
interface BudgetSyncReply {
  /** False if the called instance does not hold the role. */
  readonly isHome: boolean;
  /** Epoch of the home's tenure. */
  readonly epoch: number;
  /** False if the home no longer knows the session; nothing lent in it may be spent. */
  readonly sessionKnown: boolean;
  /** Tokens that were lent in the session so far. */
  readonly lentTotal: number;
  /** Time until `leastTokens` can be lent; `Infinity` if they never can. */
  readonly retryAfterMs: number;
}

export default BudgetSyncReply;
