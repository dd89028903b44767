/** Error codes of HTTP clients that rule out that any byte of the request was sent. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Returns true if a request that failed with this error code cannot have reached the server.
 *
 * @example
 * if (isUnsent((error as NodeJS.ErrnoException).code)) return AppendResult.NotAppended;
 */
const isUnsent = (code: string | undefined): boolean => UNSENT_CODES.has(code ?? '');

export default isUnsent;
