/** How an append ended for its writer. */
enum SettlementKind {
  /** Folded and in force. */
  Accepted = 'accepted',
  /** Folded, and its precondition did not hold. */
  Rejected = 'rejected',
  /** Not in the log, and it can take no effect if it still arrives. */
  NotWritten = 'not_written',
  /** Neither could be established within the deadline. */
  Unknown = 'unknown',
}

export default SettlementKind;
