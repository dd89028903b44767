/** What a caller's request says beside method, path and body. */
interface RequestFields {
  /** Host without port, in lower case; empty if absent. */
  readonly host: string;
  /** Id of this attempt of the caller; empty if absent. */
  readonly attemptId: string;
  /** How long the caller will wait; `null` if it does not say. */
  readonly deadlineMs: number | null;
  /** Empty where the request names no model. */
  readonly model: string;
  readonly adapter: string | null;
  /** Tokens of the prompt and most tokens of the answer together; `null` if it does not say. */
  readonly tokens: number | null;
  /** Empty if absent. */
  readonly key: string;
}

export default RequestFields;
