/** Limits of one bucket. */
interface EscrowLimits {
  readonly ratePerS: number;
  readonly burst: number;
}

export default EscrowLimits;
