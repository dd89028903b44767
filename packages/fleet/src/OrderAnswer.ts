/** The answer of an engine to an order. */
enum OrderAnswer {
  /** The engine has started to carry it out. */
  Accepted = 'accepted',
  /** The engine is already in the state that the order asks for. */
  AlreadyApplied = 'holds',
  /** Another order is in progress, or the expected number of orders differs. */
  Conflict = 'conflict',
  /** The engine has seen a higher fencing token: another instance has taken over since. */
  Fenced = 'fenced',
  /** Refused permanently: unknown content, or another engine at the address. */
  Refused = 'refused',
  /** There was no answer: the order may have been carried out, or may still be. */
  Unknown = 'unknown',
}

export default OrderAnswer;
