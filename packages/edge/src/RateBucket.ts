/** The token buckets of one workspace: the shared one as this instance sees it, and this instance's own share. */
interface RateBucket {
  /** Tokens left over all instances, as far as this one knows. */
  shared: number;
  /** Tokens that this instance may spend from its own share when few shared tokens are left. */
  own: number;
  refilledAtMs: number;
  /** Units admitted by this instance since its start. */
  spent: number;
  /** Units a second requested at this instance, decaying from `demandAtMs`. */
  demand: number;
  demandAtMs: number;
  /** Fraction of the rate that each peer could spend when all of them were last heard, by source. */
  agreedShares: ReadonlyMap<string, number>;
  /** The sources that have reported since then. */
  readonly reported: Set<string>;
}

export default RateBucket;
