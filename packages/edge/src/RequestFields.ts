import type TokenCounts from './TokenCounts';

/** The metadata of a caller's request, read from its headers. */
interface RequestFields extends TokenCounts {
  /** Host without port, in lower case; empty if absent. */
  readonly host: string;
  /** Id of the caller's attempt; empty if absent. */
  readonly attemptId: string;
  /** Time for which the caller waits; `null` if absent. */
  readonly deadlineMs: number | null;
  /** Empty where the request names no model. */
  readonly model: string;
  readonly adapter: string | null;
  /** Tokens of the prompt plus the maximum number of tokens to generate; `null` if absent. */
  readonly tokens: number | null;
  /** Ids of the parts of the prompt that other requests may share, in order: all but the last. */
  readonly sharedParts: readonly string[];
  /** API key; empty if absent. */
  readonly key: string;
}

export default RequestFields;
