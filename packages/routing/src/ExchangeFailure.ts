/** The ways in which an exchange with a target can fail. */
enum ExchangeFailure {
  /** No byte of the request was sent. */
  NotSent = 'not_sent',
  /** The connection broke; the target may have crashed. */
  Broken = 'broken',
  /** No byte arrived within the silence limit. */
  Silent = 'silent',
  /** The response named another attempt. */
  AttemptMismatch = 'crossed',
  /** The target answered with a failure; it may have run the request. */
  Failed = 'failed',
  /** The target refused the request without running it. */
  Refused = 'refused',
  /** This instance aborted the exchange: the caller disconnected or the deadline passed. */
  Aborted = 'given_up',
}

export default ExchangeFailure;
