/** What is known of one append call. */
enum AppendResult {
  /** The log confirmed the records. */
  Appended = 'appended',
  /** No record of the call can be in the log. */
  NotAppended = 'not_appended',
  /** The answer was lost; the records may be in the log or may still arrive. */
  Unknown = 'unknown',
}

export default AppendResult;
