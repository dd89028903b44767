/** Why a server closed connections of callers that go on. */
enum CloseReason {
  /** There are more connections than the limit; those that lose least by it were closed. */
  TooManyConnections = 'too_many_connections',
  /** One connection carries more requests at once than the limit. */
  TooManyPipelined = 'too_many_pipelined',
  /** All connections together carry more requests than the limit, and this one more than one. */
  TooManyRequests = 'too_many_requests',
  /** All connections together have sent more than is parsed in time; those whose bytes cost most were closed. */
  TooMuchUnread = 'too_much_unread',
  /** Bytes came on a connection that was closed as idle: a request that crossed the close, and was not read. */
  CrossedClose = 'crossed_close',
}

export default CloseReason;
