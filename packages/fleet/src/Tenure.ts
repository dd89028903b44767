import type Moment from './Moment';
import type StorePosition from './StorePosition';

/** The period in which a machine holds a lease. */
interface Tenure {
  /** Fencing token. */
  readonly fence: number;
  /** Where the next renewal must be appended, in the era of the store in which the lease was last seen to be held. */
  next: StorePosition;
  /** When an append at `next` whose outcome is not known was first sent. */
  unknownSince: Moment | undefined;
  /** Send time of the renewal in force, on the monotonic clock and as time of day. */
  sentMs: number;
  sentWallMs: number;
  /** Time from which orders may be given. */
  readonly ordersFromMs: number;
}

export default Tenure;
