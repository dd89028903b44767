/**
 * Returns the media type of a `Content-Type` header without its parameters; empty if there is none.
 *
 * @example
 * mediaTypeOf('text/event-stream; charset=utf-8'); // 'text/event-stream'
 */
const mediaTypeOf = (contentType: string | readonly string[] | undefined): string => {
  const text = typeof contentType === 'string' ? contentType : (contentType?.[0] ?? '');
  return text.split(';')[0].trim().toLowerCase();
};

export default mediaTypeOf;
