/** Tokens reserved for one request. */
interface Reservation {
  readonly tokens: number;
  /** Settles on the tokens that were used; the rest may be spent again. Call it once. */
  settle(usedTokens: number): void;
}

export default Reservation;
