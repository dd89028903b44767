/** Kinds of final outcome of an append. */
enum OutcomeKind {
  /** The record was folded and has taken effect. */
  Accepted = 'accepted',
  /** The record was folded, but its precondition did not hold. */
  Rejected = 'rejected',
  /** The record is not in the log, or has no effect if it is there or still reaches it. */
  NotWritten = 'not_written',
  /** The outcome could not be determined before the deadline. */
  Unknown = 'unknown',
}

export default OutcomeKind;
