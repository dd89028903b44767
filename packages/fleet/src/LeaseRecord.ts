import type LeaseContent from './LeaseContent';

/** The newest stored record of a lease. */
interface LeaseRecord extends LeaseContent {
  /** Offset of the record in the store; greater than the offsets of all earlier records of the same era. */
  readonly offset: number;
  /**
   * Era of the position at which its writer meant to append it. If the store has a later one, the record is from before
   * the return of the store, or was written by one that did not know of it.
   */
  readonly writtenInEra: number;
}

export default LeaseRecord;
