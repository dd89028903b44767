/** What is held of a request. */
enum PoisonVerdict {
  Clear = 'clear',
  /** It was in flight on a target that died: it is tried again only alone. */
  Suspect = 'suspect',
  /** It is refused. */
  Quarantined = 'quarantined',
}

export default PoisonVerdict;
