/** The destination of the response to a caller. */
interface ResponseSink {
  /** True once a part of the response has been sent. */
  readonly headersSent: boolean;
  /** Aborts when the caller disconnects. */
  readonly disconnectSignal: AbortSignal;
  /** Sends the status and the headers. Without a length among them, the body is sent in chunks. */
  begin(status: number, headers: Readonly<Record<string, string>>): void;
  /** Writes a part of the body. Resolves when the caller can accept more. */
  write(chunk: string | Buffer): Promise<void>;
  /** Completes the response. */
  end(): void;
  /** Closes the connection, so that a truncated response cannot be taken for a complete one. */
  abort(): void;
}

export default ResponseSink;
