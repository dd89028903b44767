/** The outcome of one attempt at a target. */
enum AttemptOutcome {
  /** The caller has received its response. */
  Answered = 'answered',
  /** The target did not run the request. */
  NotExecuted = 'not_run',
  /** The target refused the request, and did not state that it has not run it. Its response is not passed on. */
  UnconfirmedRefusal = 'unconfirmed_refusal',
  /** No byte of the request was sent. */
  NotSent = 'not_sent',
  /** No byte of the request was sent, since the target became unusable or the request ended meanwhile. */
  Withheld = 'withheld',
  /** The target may have run the request, and no complete response arrived. */
  Broken = 'broken',
  /** The target ran the request and failed; its response is kept. */
  Failed = 'failed',
  /** The stream of the target stalled, and the attempt was aborted. */
  Stalled = 'silent',
  /** The target is about to end, and the attempt was aborted so that its stream is resumed elsewhere. */
  Moved = 'moved',
  CallerDisconnected = 'caller_left',
  DeadlineExceeded = 'time_over',
  /** This instance had to stop before the target had answered. */
  Stopped = 'stopped',
}

export default AttemptOutcome;
