/** A checked completion request. */
interface CompletionRequest {
  /** Path at the engine. */
  readonly path: string;
  /** The caller's body, to be sent with the engine's model name. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly stream: boolean;
  readonly maxTokens: number;
  readonly promptTokens: number;
  /** Hash of the prompt's beginning, for prefix affinity. */
  readonly prefixSha256: string;
}

export default CompletionRequest;
