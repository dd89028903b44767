import type { CrashReport } from '@wisteriapath/suspects';

/** A quarantined trait as the store keeps it, for the time when all instances have forgotten it. */
interface QuarantineRecord {
  readonly trait: string;
  /** When the record was written, as time of day; the ages of the crashes are as of then. */
  readonly writtenWallMs: number;
  /** The newest crashes; none if the trait has been cleared. */
  readonly crashes: readonly Omit<CrashReport, 'traits'>[];
}

export default QuarantineRecord;
