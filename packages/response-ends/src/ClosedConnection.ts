import type CloseReason from './CloseReason';

/** A connection of a caller that was closed because of a limit. */
interface ClosedConnection {
  readonly reason: CloseReason;
  /** Connections that were open. */
  readonly connections: number;
  /** The limit that was exceeded. */
  readonly limit: number;
}

export default ClosedConnection;
