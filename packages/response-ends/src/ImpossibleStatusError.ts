/** An answer whose status no answer can have. Its exchange has ended without an answer, and its request may have run. */
class ImpossibleStatusError extends Error {
  /** For the log. */
  readonly code: string;

  constructor(status: number) {
    super(`no answer can have the status ${status}`);
    this.name = 'ImpossibleStatusError';
    this.code = `ERR_STATUS_${status}`;
  }
}

export default ImpossibleStatusError;
