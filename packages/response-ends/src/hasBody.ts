const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Whether a response to a request of this method has a body, be it an empty one (RFC 9112, section 6.3).
 *
 * @example
 * hasBody('HEAD', 200); // false
 */
const hasBody = (method: string, status: number): boolean =>
  method !== 'HEAD' && status !== NO_CONTENT && status !== NOT_MODIFIED;

export default hasBody;
