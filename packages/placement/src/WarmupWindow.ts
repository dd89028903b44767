/** A failed target starts from this many requests at once. */
const FRESH_WINDOW = 1;

/**
 * How many requests a target gets at once. Starts at one, grows by one for each window of successes,
 * halves on a failure or slow answer, and ends at the target's stated capacity.
 *
 * @example
 * const window = new WarmupWindow(16);
 * window.succeeded(3);
 */
class WarmupWindow {
  private size = FRESH_WINDOW;

  private progress = 0;

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
    this.progress += count;
    while (this.progress >= this.size && !this.isWarm) {
      this.progress -= this.size;
      this.size += 1;
    }
  }

  /** Takes note of failures or slow answers. */
  recordOverload(): void {
    this.size = Math.max(FRESH_WINDOW, Math.floor(this.current / 2));
    this.progress = 0;
  }

  /** Begins again, after the target lost its state. */
  reset(): void {
    this.size = FRESH_WINDOW;
    this.progress = 0;
  }
}

export default WarmupWindow;
