/** What a request says of the length of its answer. */
interface TokenCounts {
  /** Maximum number of tokens to generate; `null` if absent. */
  readonly outputTokens: number | null;
  /** The caller's estimate of the number of tokens, not above the maximum and often far off; `null` if absent. */
  readonly estimatedTokens: number | null;
}

export default TokenCounts;
