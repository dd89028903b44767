/** A customer, with its fleet-wide limits. */
interface Workspace {
  readonly rateTokensPerS: number;
  readonly burstTokens: number;
  /** Share between workspaces that wait for the same targets. */
  readonly weight: number;
}

export default Workspace;
