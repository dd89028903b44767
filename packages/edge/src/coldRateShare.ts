import type SharedLimits from './SharedLimits';

/** The share of one instance. */
interface Share {
  /** Requests a second that one instance may send. */
  readonly requestsPerS: number;
  /** Whether every instance may accumulate a whole token; otherwise a random fraction of one. */
  readonly canSaveWholeToken: boolean;
}

/** Fraction of the shared limit that is used; the rest covers what the instances do not know of each other yet. */
const USED_FRACTION = 0.75;

/**
 * Returns the share of one instance in the rate limit of a cold target. With so many instances that one
 * accumulated token of each would exceed the limit, each accumulates a random fraction of a token, which
 * decides which of them may send first.
 *
 * @example
 * coldRateShare(28, 6, { coldOverage: 1.5, coldSlack: 5 }); // { requestsPerS: 4.67, canSaveWholeToken: true }
 */
const coldRateShare = (
  coldPerS: number,
  instances: number,
  { coldOverage, coldSlack }: Pick<SharedLimits, 'coldOverage' | 'coldSlack'>,
): Share => {
  const maxPerS = (coldPerS * coldOverage + coldSlack) * USED_FRACTION;
  const canSaveWholeToken = instances <= maxPerS - coldPerS;
  const totalPerS = canSaveWholeToken ? coldPerS : coldPerS * USED_FRACTION;
  return { requestsPerS: totalPerS / Math.max(1, instances), canSaveWholeToken };
};

export default coldRateShare;
