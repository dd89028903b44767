/** What is known of an order. */
enum OrderResult {
  Accepted = 'taken',
  /** Refused because of a stale fencing number. */
  Stale = 'stale',
  /** The answer was lost; the order may have taken or may still take effect. */
  Unknown = 'unknown',
}

export default OrderResult;
