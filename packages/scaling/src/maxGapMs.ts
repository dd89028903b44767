const MIN_GAP_LIMIT_MS = 3_000;
/** Part of a long window that a gap may have. */
const GAP_FRACTION = 0.01;

/**
 * Returns how long no observation may have been made within a window: a few seconds, as after a store that was away.
 *
 * @example
 * maxGapMs(16_000); // 3_000
 */
const maxGapMs = (ofWindowMs: number): number =>
  Math.max(MIN_GAP_LIMIT_MS, ofWindowMs * GAP_FRACTION);

export default maxGapMs;
