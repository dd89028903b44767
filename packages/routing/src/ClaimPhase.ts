/** State of a claim. */
enum ClaimPhase {
  /** Its holder may dispatch or have dispatched. */
  Claimed = 'claimed',
  /** Nothing was sent; the next claim may win. */
  Released = 'released',
  /** The outcome is recorded. */
  Done = 'done',
}

export default ClaimPhase;
