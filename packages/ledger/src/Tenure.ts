import type RoleHolder from './RoleHolder';
import type TakeoverReason from './TakeoverReason';

/** Who holds a role, since which record. */
interface Tenure {
  /** Grows with every takeover of the role; the fencing number of the holder's orders. */
  readonly epoch: number;
  readonly holder: RoleHolder;
  readonly reason: TakeoverReason;
  readonly released: boolean;
  /** Offset of the record that took the role. */
  readonly sinceOffset: number;
  /** Earlier holders that were taken over on silence and may still give orders. */
  readonly unproved: readonly RoleHolder[];
}

export default Tenure;
