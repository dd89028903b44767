/** Outcome of an order, as far as the placer knows it. */
enum OrderResult {
  Accepted = 'taken',
  /** Refused because of a stale fencing token. */
  Stale = 'stale',
  /** No usable response arrived; the order may have taken effect or may still do so. */
  Unknown = 'unknown',
}

export default OrderResult;
