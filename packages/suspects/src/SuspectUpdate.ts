import type Acquittal from './Acquittal';
import type CrashReport from './CrashReport';

/** What instances tell each other about suspects. Updates can be merged in any order, and more than once. */
interface SuspectUpdate {
  readonly crashes: readonly CrashReport[];
  readonly acquittals: readonly Acquittal[];
  /** Traits of which a request is being tried, with the time for which no other is. */
  readonly trials: readonly (readonly [trait: string, durationMs: number])[];
}

export default SuspectUpdate;
