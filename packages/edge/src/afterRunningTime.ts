/** At most this much of a time in which the event loop stands still is counted. */
const TICK_MS = 50;

/**
 * Calls back once the event loop has run for a time, and has then looked once more for what has arrived. A time in which this
 * process was blocked says nothing of others: it could not read their bytes. Returns a function that cancels.
 *
 * @example
 * const cancel = afterRunningTime(500, () => abort.abort());
 */
const afterRunningTime = (limitMs: number, onElapsed: () => void): (() => void) => {
  let leftMs = limitMs;
  let lastTurn: NodeJS.Immediate | undefined;
  const timer = setInterval(() => {
    leftMs -= TICK_MS;
    if (leftMs > 0) return;
    clearInterval(timer);
    // Timers run before reads, immediates after them.
    lastTurn = setImmediate(onElapsed);
  }, TICK_MS);
  return () => {
    clearInterval(timer);
    clearImmediate(lastTurn);
  };
};

export default afterRunningTime;
