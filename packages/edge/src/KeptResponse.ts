/** A complete response, with the headers for the caller. */
interface KeptResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
}

export default KeptResponse;
