/** Who a process is towards its peers. */
interface PeerIdentity {
  readonly name: string;
  readonly failureDomain: string;
  /** Differs in every run of a process. */
  readonly incarnation: string;
}

export default PeerIdentity;
