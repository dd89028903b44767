/** Why a server ended the connection of a caller that had not left. */
enum EndReason {
  /** There are more connections than the limit. */
  TooManyConnections = 'too_many_connections',
  /** The connection carries more requests at once than the limit. */
  TooManyPipelined = 'too_many_pipelined',
  /** All connections together carry more requests than the limit. */
  TooManyRequests = 'too_many_requests',
  /** All connections together have sent more than is parsed in time. */
  TooMuchUnread = 'too_much_unread',
  /** The request came behind a response that says that it is the last one of its connection. */
  BehindLastResponse = 'behind_last_response',
  /** The response is whole, but its request has not been received to the end. */
  BodyUnfinished = 'body_unfinished',
  /** The bytes on the connection are no request, or come too slowly. */
  Unreadable = 'unreadable',
  /** The handler of the request failed after its response had begun. */
  HandlerFailed = 'handler_failed',
  /** The response had begun and cannot be completed. */
  AnswerBroken = 'answer_broken',
  /** The caller takes its response too slowly. */
  CallerTooSlow = 'caller_too_slow',
  /** The response was not complete at the end of a stop. */
  StopEnded = 'stop_ended',
  /** The server closed all its connections. */
  ServerClosed = 'server_closed',
  /** The connection is gone, and neither the caller nor a known place ended it. */
  Unknown = 'unknown',
}

export default EndReason;
