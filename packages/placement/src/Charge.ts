import type Asset from './Asset';
import type ChargePhase from './ChargePhase';

/** Memory of one target that is charged for one asset. */
interface Charge {
  readonly asset: Asset;
  readonly phase: ChargePhase;
  /** Monotonic time at which the phase began. */
  readonly sinceMs: number;
  /** Sequence of the order that a report must reflect before it says anything of this asset. */
  readonly sequence: number;
}

export default Charge;
