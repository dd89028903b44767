/** How an exchange with a target ended. */
enum ExchangeEnd {
  /** The complete response arrived, as its length or its last chunk says. */
  Complete = 'complete',
  /** The target closed the connection in order, and nothing else tells the end of the response. */
  Closed = 'closed',
  /** No byte of the request can have been sent. */
  NotSent = 'not_sent',
  /** No byte of the request was sent, since it must not be sent any more. */
  Withheld = 'withheld',
  /** The connection broke, or the response was not valid. */
  Broken = 'broken',
  /** The response was rejected: it belongs to another request, or is not valid. */
  Rejected = 'crossed',
  /** This instance aborted it, for example because the caller disconnected or the deadline passed. */
  Aborted = 'aborted',
}

export default ExchangeEnd;
