/** How an engine answered an order. */
enum OrderAnswer {
  /** Begun. */
  Accepted = 'accepted',
  /** Already so. */
  AlreadyApplied = 'holds',
  /** Another order is under way, or the count of orders differs. */
  Conflict = 'conflict',
  /** Refused for good: fenced, unknown, or another engine has the address. */
  Refused = 'refused',
  /** No answer: it may have been carried out, or may still be. */
  Unknown = 'unknown',
}

export default OrderAnswer;
