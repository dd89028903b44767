import { randomUUID } from 'node:crypto';

/** One attempt at a request, which ends with its exchange, its caller or its deadline. */
class Attempt {
  readonly id = randomUUID();

  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  private readonly abort = (): void => {
    this.end();
    this.controller.abort();
  };

  /**
   * Begins an attempt.
   *
   * A timer of its own holds the attempt: a signal joined by `AbortSignal.any` does not hold the
   * time-out behind it, which may be collected and then never fires.
   */
  private constructor(
    private readonly gone: AbortSignal,
    remainingMs: number,
  ) {
    this.timer = setTimeout(this.abort, Math.ceil(remainingMs));
    gone.addEventListener('abort', this.abort);
    if (gone.aborted) this.abort();
  }

  /**
   * Runs an exchange as one attempt, which ends with it.
   *
   * @example
   * await Attempt.during(sink.gone, deadline.remainingMs(), ({ signal }) => send(signal));
   */
  static async during<T>(
    gone: AbortSignal,
    remainingMs: number,
    exchange: (attempt: Attempt) => Promise<T>,
  ): Promise<T> {
    const attempt = new Attempt(gone, remainingMs);
    try {
      return await exchange(attempt);
    } finally {
      attempt.end();
    }
  }

  /** Aborts when the caller disappears or the deadline passes. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Stops waiting for the caller and the deadline. */
  private end(): void {
    clearTimeout(this.timer);
    this.gone.removeEventListener('abort', this.abort);
  }
}

export default Attempt;
