import type Asset from './Asset';
import type AssetPhase from './AssetPhase';

/** Memory of one target that is charged for one asset. */
interface MemoryReservation {
  readonly asset: Asset;
  readonly phase: AssetPhase;
  /** Monotonic time at which the phase began. */
  readonly phaseSinceMs: number;
  /** Sequence of the order that a report must reflect before it says anything of this asset. */
  readonly sequence: number;
}

export default MemoryReservation;
