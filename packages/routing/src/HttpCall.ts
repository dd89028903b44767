/** A caller's HTTP request as it is forwarded to a target. */
interface HttpCall {
  readonly method: string;
  /** Path and query of the request at the target. */
  readonly path: string;
  /** Headers that may be forwarded: neither credentials nor hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

export default HttpCall;
