/** A crash of which a trait is suspected. */
interface Sighting {
  /** When the target crashed, on the monotonic clock. */
  readonly crashedAtMs: number;
  /** When the request was sent, on the monotonic clock. */
  readonly sentAtMs: number;
  /** Whether the target is known to have ended. */
  readonly hasEnded: boolean;
}

export default Sighting;
