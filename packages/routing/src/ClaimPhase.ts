/** The state of a claim. */
enum ClaimPhase {
  /** The holder may dispatch the call, or has dispatched it. */
  Claimed = 'claimed',
  /** Nothing was sent; the next claim may win. */
  Released = 'released',
  /** The outcome is recorded. */
  Done = 'done',
}

export default ClaimPhase;
