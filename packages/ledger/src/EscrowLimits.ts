/** The limits of one bucket, in tokens. */
interface EscrowLimits {
  readonly ratePerS: number;
  readonly burst: number;
}

export default EscrowLimits;
