import type LeaseAppend from './LeaseAppend';
import type LeaseContent from './LeaseContent';
import type LeaseState from './LeaseState';
import type StorePosition from './StorePosition';

/** A port to the store that keeps the records of a lease. Its calls never reject; the eras of its answers never fall. */
interface LeaseStore {
  /** Returns what the store keeps; `undefined` if it does not answer. */
  newest(): Promise<LeaseState | undefined>;
  /**
   * Appends a record if the offset of `at` is still the next one; the store does not compare its era, which is written
   * into the record. Returns `undefined` if the outcome is unknown.
   */
  append(at: StorePosition, content: LeaseContent): Promise<LeaseAppend | undefined>;
}

export default LeaseStore;
