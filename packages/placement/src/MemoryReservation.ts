import type Asset from './Asset';
import type AssetPhase from './AssetPhase';

/** Engine memory that is reserved for one asset. */
interface MemoryReservation {
  readonly asset: Asset;
  readonly phase: AssetPhase;
  /** Monotonic time at which the phase began. */
  readonly phaseSinceMs: number;
  /**
   * Sequence number of the latest order for this asset. Reports that reflect only earlier orders
   * are ignored for this asset.
   */
  readonly sequence: number;
}

export default MemoryReservation;
