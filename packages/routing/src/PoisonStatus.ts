/** Whether a request is suspected of crashing targets. */
enum PoisonStatus {
  Clear = 'clear',
  /** The request was in flight on a crashed target. It is tried again only alone. */
  Suspect = 'suspect',
  /** The request was in flight in several crashes, and is refused. */
  Quarantined = 'quarantined',
}

export default PoisonStatus;
