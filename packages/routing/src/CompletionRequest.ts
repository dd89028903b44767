/** A validated completion request. */
interface CompletionRequest {
  /** Path of the request at the engine. */
  readonly path: string;
  /** The caller's body; it is sent with the engine's model name. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Whether the caller asked for a stream of events. */
  readonly stream: boolean;
  /** Limit of the completion, in tokens. */
  readonly maxTokens: number;
  /** Estimated length of the prompt, in tokens. */
  readonly promptTokens: number;
  /** Hash of the prompt's first characters, for prefix affinity. */
  readonly prefixSha256: string;
}

export default CompletionRequest;
