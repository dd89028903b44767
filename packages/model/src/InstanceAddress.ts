/** An entry instance, as listed by the platform. */
interface InstanceAddress {
  readonly name: string;
  readonly failureDomain: string;
  /** `host:port` of the peer listener. */
  readonly peerAddress: string;
  /** Whether the instance is about to leave the list. */
  readonly leaving: boolean;
}

export default InstanceAddress;
