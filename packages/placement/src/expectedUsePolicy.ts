import type RetentionPolicy from './RetentionPolicy';

/**
 * Keeps a replica for as long as its usual gaps last and evicts by reload cost, expected use and
 * size.
 *
 * @example
 * expectedUsePolicy.keepAliveMs(gaps, 300_000, 3_550);
 */
const expectedUsePolicy: RetentionPolicy = {
  keepAliveMs: (gaps, limitMs, loadMs) => gaps.keepAliveMs(limitMs, loadMs),
  evictionCost: ({ gaps, loadMs, sizeMb, nowMs }) => (loadMs * gaps.usesPerHour(nowMs)) / sizeMb,
};

export default expectedUsePolicy;
