import ConnectionState from './ConnectionState';

interface Connection {
  readonly state: ConnectionState;
}

/** The states in which a connection may be closed, that which loses least by it first. */
const EVICTION_ORDER = [
  ConnectionState.Unused,
  ConnectionState.ReceivingFirst,
  ConnectionState.Idle,
  ConnectionState.Receiving,
  ConnectionState.New,
];

/**
 * Returns the connection to close when one more than the limit was accepted. It answers the load of clients that open connections and
 * send nothing, half a head or most of a body: the oldest of them gives way, so that a new caller is still served, and those that have
 * been served before keep their connections. No request that has arrived completely is lost; if all others carry one, the newest
 * connection is returned.
 *
 * @example
 * chooseEvicted(connections)?.evict(EndReason.TooManyConnections);
 */
const chooseEvicted = <C extends Connection>(
  /** All connections, the oldest first. */
  connections: Iterable<C>,
): C | undefined => {
  const oldest = new Map<ConnectionState, C>();
  let previous: C | undefined;
  // The newest is compared with none: it has had no time to send anything.
  for (const connection of connections) {
    if (previous !== undefined && !oldest.has(previous.state)) oldest.set(previous.state, previous);
    if (oldest.has(EVICTION_ORDER[0])) return oldest.get(EVICTION_ORDER[0]);
    previous = connection;
  }
  const state = EVICTION_ORDER.find((candidate) => oldest.has(candidate));
  return state === undefined ? previous : oldest.get(state);
};

export default chooseEvicted;
