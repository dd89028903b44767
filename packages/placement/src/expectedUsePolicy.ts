import type RetentionPolicy from './RetentionPolicy';

/** Value of one second of waiting for a load, in seconds for which a whole engine is held idle. */
const IDLE_TIME_PER_LOAD_WAIT = 4;
/** Minimum keep-alive time, as a multiple of the load time. */
const MIN_KEEP_ALIVE_LOAD_TIMES = 3;
const MIN_KEEP_ALIVE_MS = 30_000;
/** Keep-alive time of a replica with too few recorded gaps for an estimate. */
const DEFAULT_KEEP_ALIVE_MS = 60_000;

/**
 * Keeps an idle replica while the reload that this saves is worth more than the memory that it
 * holds. Evicts by load time, expected uses and size.
 *
 * @example
 * const policy: RetentionPolicy = expectedUsePolicy;
 */
const expectedUsePolicy: RetentionPolicy = {
  keepAliveMs: ({ gaps, limitMs, loadMs, sizeMb, memoryMb }) => {
    const memoryShare = Math.min(1, sizeMb / Math.max(1, memoryMb));
    const reloadWorthMs = (loadMs * IDLE_TIME_PER_LOAD_WAIT) / memoryShare;
    const worthwhileMs = gaps.keepAliveMs(limitMs, reloadWorthMs, DEFAULT_KEEP_ALIVE_MS);
    return Math.min(
      limitMs,
      Math.max(worthwhileMs, MIN_KEEP_ALIVE_LOAD_TIMES * loadMs, MIN_KEEP_ALIVE_MS),
    );
  },
  evictionCost: ({ gaps, loadMs, sizeMb, nowMs }) => (loadMs * gaps.usesPerHour(nowMs)) / sizeMb,
};

export default expectedUsePolicy;
