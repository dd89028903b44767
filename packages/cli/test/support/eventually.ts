const POLL_MS = 20;

/** Waits until `read` gives a value that `accepts` allows; fails after `timeoutMs`. */
const eventually = async <T>(
  read: () => Promise<T> | T,
  accepts: (value: T) => boolean = Boolean,
  timeoutMs = 20_000,
): Promise<T> => {
  const giveUpAt = Date.now() + timeoutMs;
  for (;;) {
    const value = await read();
    if (accepts(value)) return value;
    if (Date.now() > giveUpAt) {
      throw new Error(`not within ${timeoutMs} ms; last: ${JSON.stringify(value)}`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
};

export default eventually;
