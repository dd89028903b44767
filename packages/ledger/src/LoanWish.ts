/** What a borrower asks for. */
interface LoanWish {
  /** Least loan that helps; nothing is lent below it. */
  readonly leastTokens: number;
  /** Tokens for requests that wait now. */
  readonly neededTokens: number;
  /** With what the borrower expects to use soon; lent only out of plenty. */
  readonly mostTokens: number;
  /** Whether the borrower waits here for its turn. */
  readonly mayQueue: boolean;
}

export default LoanWish;
