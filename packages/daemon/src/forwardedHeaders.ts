import type { IncomingHttpHeaders } from 'node:http';

/** Keys, hop-by-hop headers, and headers that this system sets itself. */
const WITHHELD = new Set([
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
 * The headers of a caller that a service may see.
 *
 * @example
 * forwardedHeaders({ authorization: 'Bearer s3cret', accept: 'text/plain' });
 * // { accept: 'text/plain' }
 */
const forwardedHeaders = (headers: IncomingHttpHeaders): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers)
      .filter(([name, value]) => !WITHHELD.has(name) && value !== undefined)
      .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value!]),
  );

export default forwardedHeaders;
