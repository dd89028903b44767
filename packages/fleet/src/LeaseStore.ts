import type LeaseRecord from './LeaseRecord';

/** A port to the store that keeps the records of a lease. Its calls never reject. */
interface LeaseStore {
  /**
   * Returns the newest record and the offset of the next one; `undefined` if the store does not
   * answer.
   */
  newest(): Promise<{ record: LeaseRecord | null; nextOffset: number } | undefined>;
  /**
   * Appends a record if `at` is still the next offset. Returns whether it was appended, or
   * `undefined` if the outcome is unknown.
   */
  append(at: number, holder: string, released: boolean): Promise<boolean | undefined>;
}

export default LeaseStore;
