/**
 * Full-jitter exponential backoff: a random wait below `baseMs * 2^attempt`, capped at `capMs`.
 *
 * @example
 * await clock.sleep(backoffMs(attempt, 50, 2_000));
 */
const backoffMs = (attempt: number, baseMs: number, capMs: number): number =>
  Math.random() * Math.min(capMs, baseMs * 2 ** Math.min(attempt, 16));

export default backoffMs;
