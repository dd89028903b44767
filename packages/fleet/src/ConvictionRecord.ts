import type { CrashReport } from '@wisteriapath/suspects';

/** A convicted trait as the store keeps it, for the time when all instances have forgotten it. */
interface ConvictionRecord {
  readonly trait: string;
  /** When the record was written, as time of day; the ages of the crashes are as of then. */
  readonly writtenWallMs: number;
  /** The newest crashes; none if the trait has been acquitted. */
  readonly crashes: readonly Omit<CrashReport, 'traits'>[];
}

export default ConvictionRecord;
