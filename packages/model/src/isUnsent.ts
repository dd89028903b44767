/** Error codes of an HTTP client after which no byte of the request can have been sent. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Whether a request that failed with an error code cannot have reached the other side.
 *
 * @example
 * if (isUnsent((error as NodeJS.ErrnoException).code)) return AppendResult.NotAppended;
 */
const isUnsent = (code: string | undefined): boolean => UNSENT_CODES.has(code ?? '');

export default isUnsent;
