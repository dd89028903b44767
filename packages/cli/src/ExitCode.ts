/** Exit codes of the command line. */
enum ExitCode {
  Done = 0,
  /** The command failed. */
  Failed = 1,
  /** Wrong arguments, or faults in a file. */
  Usage = 2,
  /** The row was changed by somebody else. */
  Conflict = 3,
  /** The edit was accepted, and some instance has not confirmed it in time. */
  Unconfirmed = 4,
}

export default ExitCode;
