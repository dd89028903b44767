import { STATUS_CODES } from 'node:http';

interface Refusal {
  readonly status: number;
  readonly reason: string;
}

const PARSER_ERROR_PREFIX = 'HPE_';
const BAD_REQUEST = 400;

const STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

/**
 * Returns the status for bytes that the parser rejected with an error code; undefined if the error is of the connection
 * itself, so that nothing can be sent on it.
 *
 * @example
 * const refusal = refusalOf('HPE_HEADER_OVERFLOW'); // { status: 431, reason: 'Request Header Fields Too Large' }
 */
const refusalOf = (code: string): Refusal | undefined => {
  const status = STATUSES[code] ?? (code.startsWith(PARSER_ERROR_PREFIX) ? BAD_REQUEST : undefined);
  return status === undefined ? undefined : { status, reason: STATUS_CODES[status] ?? '' };
};

export default refusalOf;
