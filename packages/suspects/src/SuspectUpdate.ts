import type Clearance from './Clearance';
import type CrashReport from './CrashReport';

/** What instances tell each other about suspects. Updates can be merged in any order, and more than once. */
interface SuspectUpdate {
  readonly crashes: readonly CrashReport[];
  readonly clearances: readonly Clearance[];
  /** Probes, each with the time for which no other request with the trait is tried; 0 says that it has ended. */
  readonly probes: readonly (readonly [trait: string, durationMs: number, claimId?: string])[];
}

export default SuspectUpdate;
