import type { IncomingHttpHeaders } from 'node:http';

/** Credentials, hop-by-hop headers, and headers that this system sets itself. */
const WITHHELD_HEADERS = new Set([
  'authorization',
  'proxy-authorization',
  'x-api-key',
  'cookie',
  'host',
  'connection',
  'keep-alive',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
  'expect',
  'content-length',
  'x-request-id',
  'x-deadline-ms',
  'x-wisteriapath-workspace',
]);

/**
 * Returns the headers of a caller's request that are passed on to a service.
 *
 * @example
 * selectForwardedHeaders({ authorization: 'Bearer s3cret', accept: 'text/plain' });
 * // { accept: 'text/plain' }
 */
const selectForwardedHeaders = (headers: IncomingHttpHeaders): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers)
      .filter(([name, value]) => !WITHHELD_HEADERS.has(name) && value !== undefined)
      .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value!]),
  );

export default selectForwardedHeaders;
