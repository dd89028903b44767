/** How an answer is handled, by what its first line and headers say. */
enum AnswerMode {
  /** No answer yet. */
  None = 'none',
  /** The target has not run the request. */
  NotRun = 'not_run',
  /** Passed on as it arrives. */
  Streamed = 'streamed',
  /** Passed on as a whole. */
  Whole = 'whole',
  /** No answer that may be passed on. */
  Invalid = 'invalid',
}

export default AnswerMode;
