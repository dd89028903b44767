/** Ways in which an exchange with a target fails. */
enum ExchangeFailure {
  /** No byte of the request was sent. */
  NotSent = 'not_sent',
  /** The connection broke: the target may have died. */
  Broken = 'broken',
  /** No byte came for longer than the silence limit. */
  Silent = 'silent',
  /** The answer belonged to another attempt. */
  Crossed = 'crossed',
  /** The target refused the request without running it. */
  Refused = 'refused',
  /** This side gave up. */
  GivenUp = 'given_up',
}

export default ExchangeFailure;
