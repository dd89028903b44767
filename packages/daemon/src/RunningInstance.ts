/** A started entry instance. */
interface RunningInstance {
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  /** `host:port` of the listener for peers. */
  readonly peerAddress: string;
  /** Shuts down gracefully: finishes the requests in flight and releases the roles. Called again, it waits for the same stop. */
  stop(): Promise<void>;
}

export default RunningInstance;
