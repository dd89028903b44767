/** The identity under which a process presents itself to its peers. */
interface PeerIdentity {
  readonly name: string;
  readonly failureDomain: string;
  /** Identifies one run of the process; a restarted process has another one. */
  readonly incarnation: string;
}

export default PeerIdentity;
