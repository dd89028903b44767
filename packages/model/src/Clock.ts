/** A source of time. Readings are monotonic and comparable only within one process. */
interface Clock {
  /** Returns the monotonic time in milliseconds. */
  nowMs(): number;
  /** Resolves after `durationMs`, or as soon as `signal` is aborted. Never rejects. */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}

export default Clock;
