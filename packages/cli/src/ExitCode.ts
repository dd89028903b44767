/** Exit codes of the command line. */
enum ExitCode {
  Success = 0,
  /** The command failed. */
  Failed = 1,
  /** The arguments or a settings or table file are invalid. */
  UsageError = 2,
  /** The row was changed by another edit in the meantime. */
  Conflict = 3,
  /** The edit was accepted, but at least one instance did not confirm it within the timeout. */
  Unconfirmed = 4,
}

export default ExitCode;
