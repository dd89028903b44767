/** What was done about bytes of a caller that are no request, or about a head that came too slowly. */
interface UnreadableBytes {
  /** Error code of the parser or the socket. */
  readonly code: string;
  /** Number of requests of the connection that were under way. */
  readonly underWay: number;
  /** The status that the caller is sent for it; 0 if it is sent none. */
  readonly status: number;
}

export default UnreadableBytes;
