/** Window of a target that starts or has lost its state, and lower bound after overload. */
const INITIAL_WINDOW = 1;

/**
 * The number of requests that a target may have in flight during slow start. Starts at one, grows
 * by one for each full window of successes, halves on failed or slow responses, and is limited by
 * the capacity that is configured for the target.
 *
 * @example
 * const window = new WarmupWindow(16);
 * window.recordSuccesses(3);
 */
class WarmupWindow {
  private size = INITIAL_WINDOW;

  private successes = 0;

  constructor(private capacity: number) {}

  get current(): number {
    return Math.min(this.size, this.capacity);
  }

  get isWarm(): boolean {
    return this.size >= this.capacity;
  }

  setCapacity(capacity: number): void {
    this.capacity = capacity;
  }

  recordSuccesses(count: number): void {
    this.successes += count;
    while (this.successes >= this.size && !this.isWarm) {
      this.successes -= this.size;
      this.size += 1;
    }
  }

  /** Halves the window after failed or slow responses. */
  recordOverload(): void {
    this.size = Math.max(INITIAL_WINDOW, Math.floor(this.current / 2));
    this.successes = 0;
  }

  /** Restarts slow start, after the target lost its state. */
  reset(): void {
    this.size = INITIAL_WINDOW;
    this.successes = 0;
  }
}

export default WarmupWindow;
