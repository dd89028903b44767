/** The loan that a borrower asks for. */
interface LoanRequest {
  /** Smallest useful loan; the home lends at least this or nothing. */
  readonly leastTokens: number;
  /** Tokens for requests that are waiting now. */
  readonly neededTokens: number;
  /** Needed tokens plus expected use; the excess is lent only while the bucket is well filled. */
  readonly mostTokens: number;
  /** Whether the home may queue the borrower if it cannot lend at once. */
  readonly mayQueue: boolean;
}

export default LoanRequest;
