import { randomUUID } from 'node:crypto';

/** One attempt at a request, which ends with its caller, with its deadline or by `end`. */
class Attempt {
  readonly id = randomUUID();

  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  private readonly abort = (): void => {
    this.end();
    this.controller.abort();
  };

  /**
   * Begins an attempt. The caller must call `end` when the exchange is over.
   *
   * A timer of its own holds the attempt: a signal joined by `AbortSignal.any` does not hold the
   * time-out behind it, which may be collected and then never fires.
   *
   * @example
   * const attempt = new Attempt(sink.gone, deadline.remainingMs());
   */
  constructor(
    private readonly gone: AbortSignal,
    remainingMs: number,
  ) {
    this.timer = setTimeout(this.abort, Math.ceil(remainingMs));
    gone.addEventListener('abort', this.abort);
    if (gone.aborted) this.abort();
  }

  /** Aborts when the caller disappears or the deadline passes. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Stops waiting for the caller and the deadline. */
  end(): void {
    clearTimeout(this.timer);
    this.gone.removeEventListener('abort', this.abort);
  }
}

export default Attempt;
