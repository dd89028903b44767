/** Longest time by which a signal that was handled at once counts as late. */
const INTERVAL_MS = 100;

/** Knows how long a signal may have waited for the event loop, which may have stood still. */
class SignalWait {
  /** Signals that came before this time have been handled; 0 is the start of the process. */
  private handledUntilMs = 0;

  constructor() {
    setInterval(() => this.look(), INTERVAL_MS).unref();
  }

  /** Returns the earliest time at which a signal that is handled now may have come, on the monotonic clock. */
  get earliestMs(): number {
    return this.handledUntilMs;
  }

  private look(): void {
    const nowMs = performance.now();
    // Signals are handled after timers and before immediates.
    setImmediate(() => {
      this.handledUntilMs = nowMs;
    });
  }
}

export default SignalWait;
