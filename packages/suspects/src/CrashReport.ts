/** A request that a target had not begun to answer when it crashed, or when the connection to it broke. */
interface CrashReport {
  /** Id of this life of the target, the same for all who report. */
  readonly crashId: string;
  /** Whether the target is known to have ended; otherwise only the connection is known to be broken. */
  readonly hasEnded: boolean;
  readonly traits: readonly string[];
  /** Time since the crash. */
  readonly ageMs: number;
  /** Time from when the request was sent until the crash. */
  readonly sentBeforeMs: number;
}

export default CrashReport;
