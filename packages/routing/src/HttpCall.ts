/** A caller's request as it is passed on to a target. */
interface HttpCall {
  readonly method: string;
  /** Path and query at the target. */
  readonly path: string;
  /** Headers that may be passed on: neither keys nor hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

export default HttpCall;
