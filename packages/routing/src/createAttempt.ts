import { randomUUID } from 'node:crypto';

/** One attempt at a request. */
interface Attempt {
  readonly id: string;
  /** Aborts when the caller disappears or the deadline passes. */
  readonly signal: AbortSignal;
}

/**
 * Begins an attempt that ends with its caller or its deadline.
 *
 * @example
 * const attempt = createAttempt(sink.gone, deadline.remainingMs());
 */
const createAttempt = (gone: AbortSignal, remainingMs: number): Attempt => ({
  id: randomUUID(),
  signal: AbortSignal.any([gone, AbortSignal.timeout(Math.ceil(remainingMs))]),
});

export default createAttempt;
