/** An instance as its peers know it. */
interface MemberRecord {
  readonly name: string;
  /** Changes with each start of the process. */
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly host: string;
  /** Processor cores that its process may use. */
  readonly cores: number;
}

export default MemberRecord;
