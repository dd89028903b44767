/** What tells the receiver of a response where its body ends. */
enum ResponseFraming {
  /** The response has no body. */
  None = 'none',
  /** A `Content-Length`. */
  Length = 'length',
  /** The last chunk of a chunked body. */
  Chunks = 'chunks',
  /** The end of its connection, which a response that was broken off may show as well. */
  Close = 'close',
}

export default ResponseFraming;
