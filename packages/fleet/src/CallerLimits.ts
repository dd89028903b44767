/** What callers may send, and how long they may take. */
interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export default CallerLimits;
