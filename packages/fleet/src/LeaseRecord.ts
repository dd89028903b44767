/** The newest stored record of a lease. */
interface LeaseRecord {
  /** Machine name and incarnation of the holder, as `name#incarnation`. */
  readonly holder: string;
  /** Offset of the record in the store; greater than the offsets of all earlier records. */
  readonly offset: number;
  /** Whether the holder has released the lease. */
  readonly released: boolean;
}

export default LeaseRecord;
