/** An instance as its peers know it. */
interface MemberRecord {
  readonly name: string;
  /** Identifies one run of the process; changes with each start. */
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly host: string;
  /** Number of processor cores that the process may use. */
  readonly cores: number;
}

export default MemberRecord;
