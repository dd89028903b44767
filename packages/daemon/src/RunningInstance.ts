/** A started entry instance. */
interface RunningInstance {
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  /** `host:port` of the listener for peers. */
  readonly peerAddress: string;
  /** Ends gracefully: everything in flight is finished, roles are handed over. */
  stop(): Promise<void>;
}

export default RunningInstance;
