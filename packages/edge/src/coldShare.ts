import type SharedLimits from './SharedLimits';

interface Share {
  /** Requests a second of one instance. */
  readonly perS: number;
  /** Whether every instance may save up a whole request. */
  readonly isWhole: boolean;
}

/** Part of a shared limit that is used; the rest is for what the instances do not know of each other. */
const USED_PART = 0.75;

/**
 * One instance's part of what a cold target may get. Where there are so many instances that one saved request
 * of each would be too much, they save up fractions, and chance decides which of them may send first.
 *
 * @example
 * coldShare(28, 6, { coldOverage: 1.5, coldSlack: 5 }); // { perS: 4.67, isWhole: true }
 */
const coldShare = (
  coldPerS: number,
  instances: number,
  { coldOverage, coldSlack }: Pick<SharedLimits, 'coldOverage' | 'coldSlack'>,
): Share => {
  const most = (coldPerS * coldOverage + coldSlack) * USED_PART;
  const isWhole = instances <= most - coldPerS;
  const totalPerS = isWhole ? coldPerS : coldPerS * USED_PART;
  return { perS: totalPerS / Math.max(1, instances), isWhole };
};

export default coldShare;
