/** The tokens reserved for one request. */
interface Reservation {
  readonly tokens: number;
  /** Settles the reservation with the tokens that were used and frees the rest. Call it once. */
  settle(usedTokens: number): void;
}

export default Reservation;
