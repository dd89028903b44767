/** From whom this instance knows that a target said that it is leaving. A higher value weighs more. */
enum LeavingSource {
  /** The target has not said so. */
  None = 0,
  /** A peer heard it. */
  Peer = 1,
  /** This instance heard it from the target itself. */
  Target = 2,
}

export default LeavingSource;
