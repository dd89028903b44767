import type RoleHolder from './RoleHolder';
import type TakeoverReason from './TakeoverReason';

/** The period for which a process holds a role. */
interface Tenure {
  /** Grows with every takeover of the role; the fencing token of the holder's orders. */
  readonly epoch: number;
  readonly holder: RoleHolder;
  readonly reason: TakeoverReason;
  readonly released: boolean;
  /** Offset of the record that took the role. */
  readonly sinceOffset: number;
  /** Previous holders that were replaced for silence and may still give orders. */
  readonly unproved: readonly RoleHolder[];
}

export default Tenure;
