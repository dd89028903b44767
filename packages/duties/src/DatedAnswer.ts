/** An answer of the store that states when it was written. */
interface DatedAnswer {
  /** When the call was sent, on the monotonic clock. */
  readonly sentMs: number;
  readonly receivedMs: number;
  /** Its `Date`, a whole second, as milliseconds since 1970-01-01. */
  readonly dateMs: number;
}

export default DatedAnswer;
