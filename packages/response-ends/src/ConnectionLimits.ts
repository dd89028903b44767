/** What all callers together, and one connection, may use of a server. */
interface ConnectionLimits {
  readonly connections: number;
  /** Requests that are under way on one connection at once. */
  readonly requestsInConnection: number;
  /** Requests under way on all connections, beyond which none may carry more than one. */
  readonly requests: number;
  /** Bytes of all connections that were read and not parsed. */
  readonly unreadBytes: number;
}

export default ConnectionLimits;
