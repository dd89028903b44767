/** A content that is longer than its reader accepts. */
class ByteLimitError extends Error {
  constructor(readonly limitBytes: number) {
    super(`the body is longer than ${limitBytes} bytes`);
  }
}

export default ByteLimitError;
