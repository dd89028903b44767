/** What callers may send, and how long they may take. */
interface CallerLimits {
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export default CallerLimits;
