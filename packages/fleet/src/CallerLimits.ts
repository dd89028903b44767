/** Limits on the requests and connections of callers, from the desired state. */
interface CallerLimits {
  readonly maxBodyBytes: number;
  /** Longest head of a request. */
  readonly maxHeaderBytes: number;
  /** Time within which the headers of a request must be complete. */
  readonly headerTimeoutMs: number;
  /** Longest idle time after which callers still reuse a connection. */
  readonly idleTimeoutMs: number;
}

export default CallerLimits;
