/** A workspace with its keys and its limit over all instances. */
interface WorkspaceSpec {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of routes; `null` where it does not. */
  readonly priority: number | null;
  /** Units a second; 0 where there is no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  /** Whether a unit is a token; else it is a request. */
  readonly countsTokens: boolean;
  /** Tokens that a request without a token count is charged. */
  readonly defaultTokens: number;
}

export default WorkspaceSpec;
