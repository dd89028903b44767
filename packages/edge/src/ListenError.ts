import type OpenFailure from './OpenFailure';

/** A port that serving needs could not be opened. The message names address, code and number of tries. */
class ListenError extends Error {
  override readonly name = 'ListenError';

  /** Code of the last error. */
  readonly code: string;

  constructor(
    readonly address: string,
    { code, failures }: OpenFailure,
    options?: ErrorOptions,
  ) {
    super(`${address} could not be opened (${code}), tries: ${failures}`, options);
    this.code = code;
  }
}

export default ListenError;
