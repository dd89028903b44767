const POLL_INTERVAL_MS = 20;

/** Polls `read` until `accepts` returns true for its value, and returns the value. Throws after `timeoutMs`. */
const eventually = async <T>(
  read: () => Promise<T> | T,
  accepts: (value: T) => boolean = Boolean,
  timeoutMs = 20_000,
): Promise<T> => {
  const deadlineMs = Date.now() + timeoutMs;
  for (;;) {
    const value = await read();
    if (accepts(value)) return value;
    if (Date.now() > deadlineMs) {
      throw new Error(`not within ${timeoutMs} ms; last: ${JSON.stringify(value)}`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
};

export default eventually;
