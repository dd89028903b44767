import type DutyKind from './DutyKind';

/** The duties of a deployment, and their bounds. */
interface DutyOptions {
  readonly kinds: readonly DutyKind[];
  /** Calls per second that the platform takes from all instances together. */
  readonly maxCallsPerS: number;
  /** Length of a window in which usage is counted. */
  readonly usageWindowMs: number;
  /** Greatest relative error of a reported count. */
  readonly usageTolerance: number;
  /** Time after the end of a window at which its report is due. */
  readonly usageDueMs: number;
}

export default DutyOptions;
