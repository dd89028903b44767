import { randomUUID } from 'node:crypto';

/**
 * One attempt at a request. It ends when its exchange ends, the caller disconnects or the deadline
 * passes.
 */
class Attempt {
  readonly id = randomUUID();

  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  private readonly abort = (): void => {
    this.end();
    this.controller.abort();
  };

  /**
   * Starts a timer that keeps a reference to the attempt. A signal combined by `AbortSignal.any`
   * keeps no reference to its timeout, which may be garbage-collected and then never fires.
   */
  private constructor(
    private readonly disconnectSignal: AbortSignal,
    remainingMs: number,
  ) {
    this.timer = setTimeout(this.abort, Math.ceil(remainingMs));
    disconnectSignal.addEventListener('abort', this.abort);
    if (disconnectSignal.aborted) this.abort();
  }

  /**
   * Runs an exchange as one attempt, which ends when the exchange ends.
   *
   * @example
   * await Attempt.run(sink.disconnectSignal, deadline.remainingMs(), ({ signal }) => send(signal));
   */
  static async run<T>(
    disconnectSignal: AbortSignal,
    remainingMs: number,
    exchange: (attempt: Attempt) => Promise<T>,
  ): Promise<T> {
    const attempt = new Attempt(disconnectSignal, remainingMs);
    try {
      return await exchange(attempt);
    } finally {
      attempt.end();
    }
  }

  /** Aborts when the caller disconnects or the deadline passes. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Clears the timer and the listener on the caller. */
  private end(): void {
    clearTimeout(this.timer);
    this.disconnectSignal.removeEventListener('abort', this.abort);
  }
}

export default Attempt;
