/**
 * Source of time. Readings are monotonic and comparable only within one process.
 */
interface Clock {
  /** Monotonic time in milliseconds. */
  nowMs(): number;
  /** Resolves after `durationMs`, or as soon as `signal` aborts; never rejects. */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}

export default Clock;
