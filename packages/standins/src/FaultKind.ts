/** The kinds of faults that can be injected into every stand-in over `/faults`. */
enum FaultKind {
  None = 'none',
  /** Responds after a delay. */
  Slow = 'slow',
  /** Responds with 503 and does not apply the request. */
  Refuse = 'refuse',
  /** Breaks the connection and does not apply the request. */
  Down = 'down',
  /** Applies the request, then breaks the connection. */
  LoseResponse = 'lose_answer',
  /** Accepts the request, does not apply it and never responds. */
  Silent = 'silent',
  /**
   * Applies the request after a delay and sends no response; the connection is broken afterwards.
   */
  LateEffect = 'late_effect',
}

export default FaultKind;
