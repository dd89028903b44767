/**
 * Returns a wait for exponential backoff with full jitter: a random time below
 * `baseMs * 2^attempt`, and below `capMs`.
 *
 * @example
 * await clock.sleep(backoffMs(attempt, 50, 2_000));
 */
const backoffMs = (attempt: number, baseMs: number, capMs: number): number =>
  Math.random() * Math.min(capMs, baseMs * 2 ** Math.min(attempt, 16));

export default backoffMs;
