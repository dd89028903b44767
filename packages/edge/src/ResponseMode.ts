/** How a response is handled, decided by its status and headers. */
enum ResponseMode {
  /** No headers have arrived yet. */
  None = 'none',
  /** The target has not run the request. */
  NotExecuted = 'not_run',
  /** Passed on to the caller as it arrives. */
  Streamed = 'streamed',
  /** Collected, and passed on once it is complete. */
  Buffered = 'whole',
  /** Must not be passed on. */
  Invalid = 'invalid',
}

export default ResponseMode;
