import ResponseFraming from './ResponseFraming';
import hasBody from './hasBody';

interface Headers {
  readonly 'content-length'?: string | readonly string[];
  readonly 'transfer-encoding'?: string | readonly string[];
}

const ENDS_CHUNKED = /\bchunked\s*$/i;

/**
 * Returns what bounds the body of a response (RFC 9112, section 6.3).
 *
 * @example
 * framingOf('GET', 200, { 'content-length': '12' }); // ResponseFraming.Length
 */
const framingOf = (method: string, status: number, headers: Headers): ResponseFraming => {
  if (!hasBody(method, status)) return ResponseFraming.None;
  const encoding = headers['transfer-encoding'];
  if (encoding !== undefined) {
    return ENDS_CHUNKED.test(String(encoding)) ? ResponseFraming.Chunks : ResponseFraming.Close;
  }
  return headers['content-length'] === undefined ? ResponseFraming.Close : ResponseFraming.Length;
};

export default framingOf;
