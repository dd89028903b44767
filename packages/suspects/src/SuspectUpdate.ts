import type Acquittal from './Acquittal';
import type CrashReport from './CrashReport';

/** What instances tell each other about suspects. Updates can be merged in any order, and more than once. */
interface SuspectUpdate {
  readonly crashes: readonly CrashReport[];
  readonly acquittals: readonly Acquittal[];
  /** Trials, each with the time for which no other request with the trait is tried; 0 says that it has ended. */
  readonly trials: readonly (readonly [trait: string, durationMs: number, claimId?: string])[];
}

export default SuspectUpdate;
