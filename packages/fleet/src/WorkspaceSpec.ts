/** A workspace with its keys and its rate limit, which applies over all instances. */
interface WorkspaceSpec {
  readonly name: string;
  readonly keys: readonly string[];
  /** Priority that overrides that of the routes; `null` if there is none. */
  readonly priority: number | null;
  /** Units per second; 0 if there is no limit. */
  readonly ratePerS: number;
  /** Units that may be used at once. */
  readonly burst: number;
  /** Whether a unit is a token rather than a request. */
  readonly countsTokens: boolean;
  /** Tokens charged to a request that has no token count. */
  readonly defaultTokens: number;
}

export default WorkspaceSpec;
