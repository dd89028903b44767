/** An entry instance as the platform's instance list shows it. */
interface InstanceAddress {
  readonly name: string;
  readonly failureDomain: string;
  /** `host:port` of the peer listener. */
  readonly peerAddress: string;
  readonly leaving: boolean;
}

export default InstanceAddress;
