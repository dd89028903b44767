/** The recorded response of a call that ran. */
interface ClaimOutcome {
  readonly status: number;
  readonly contentType: string;
  /** The body in base64; `null` if it was too long to be recorded. */
  readonly bodyBase64: string | null;
}

export default ClaimOutcome;
