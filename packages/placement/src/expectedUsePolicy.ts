import type RetentionPolicy from './RetentionPolicy';

/** Time of one whole engine held idle that the same time of waiting for a load is worth. */
const IDLE_PER_WAIT = 4;
/** A replica is kept for at least this many times its load time. */
const LOAD_TIMES_KEPT = 3;
const LEAST_KEEP_MS = 30_000;
/** Keep-alive while little is known of a replica's use. */
const UNKNOWN_KEEP_MS = 60_000;

/**
 * Keeps a replica for as long as the memory that it holds is worth the reload that it saves, and
 * evicts by reload cost, expected use and size.
 *
 * @example
 * const policy: RetentionPolicy = expectedUsePolicy;
 */
const expectedUsePolicy: RetentionPolicy = {
  keepAliveMs: ({ gaps, limitMs, loadMs, sizeMb, memoryMb }) => {
    const memoryShare = Math.min(1, sizeMb / Math.max(1, memoryMb));
    const reloadWorthMs = (loadMs * IDLE_PER_WAIT) / memoryShare;
    const worthMs = gaps.keepAliveMs(limitMs, reloadWorthMs, UNKNOWN_KEEP_MS);
    return Math.min(limitMs, Math.max(worthMs, LOAD_TIMES_KEPT * loadMs, LEAST_KEEP_MS));
  },
  evictionCost: ({ gaps, loadMs, sizeMb, nowMs }) => (loadMs * gaps.usesPerHour(nowMs)) / sizeMb,
};

export default expectedUsePolicy;
