import type LeaseRecord from './LeaseRecord';

/** What the store says of a lease. */
interface LeaseState {
  /** Era of the store in which this holds. */
  readonly era: number;
  /** The newest record; `null` if there is none. */
  readonly record: LeaseRecord | null;
  /** Offset of the next record. */
  readonly nextOffset: number;
}

export default LeaseState;
