/** An instance did not get an answer from its own port. The message names the address and the last error of the HTTP client. */
class SelfCheckError extends Error {
  override readonly name = 'SelfCheckError';

  constructor(
    readonly address: string,
    cause: Error,
  ) {
    super(`no answer from the own port ${address}: ${cause.name}: ${cause.message}`, { cause });
  }
}

export default SelfCheckError;
