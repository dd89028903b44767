/** Where the answer to a caller goes. */
interface ResponseSink {
  /** True once a part of the answer has gone out. */
  readonly headersSent: boolean;
  /** Aborts when the caller disappears. */
  readonly disconnectSignal: AbortSignal;
  begin(status: number, headers: Readonly<Record<string, string>>): void;
  /** Resolves when the caller can take more. */
  write(chunk: string | Buffer): Promise<void>;
  end(): void;
  /** Breaks the connection, so that a cut answer cannot be taken for a whole one. */
  abort(): void;
}

export default ResponseSink;
