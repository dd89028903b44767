/** A row of the workspaces table: the limits of a workspace over all instances. */
interface Workspace {
  /** Refill rate of the token bucket of the workspace. */
  readonly rateTokensPerS: number;
  /** Capacity of the token bucket of the workspace. */
  readonly burstTokens: number;
  /** Scheduling weight relative to other workspaces that wait for the same targets. */
  readonly weight: number;
}

export default Workspace;
