/** Result of one append call, as far as the client knows it. */
enum AppendResult {
  /** The log confirmed the records. */
  Appended = 'appended',
  /** No record of the call can be in the log. */
  NotAppended = 'not_appended',
  /** The response was lost. The records may be in the log, or may still reach it. */
  Unknown = 'unknown',
}

export default AppendResult;
