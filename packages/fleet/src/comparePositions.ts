import type StorePosition from './StorePosition';

/**
 * Compares two positions of a topic: the era decides, and within one era the offset. Returns a negative number if the
 * first comes before the second, 0 if they are the same, and a positive number otherwise.
 *
 * @example
 * comparePositions({ era: 2, offset: 7 }, { era: 3, offset: 1 }) < 0;
 */
const comparePositions = (one: StorePosition, other: StorePosition): number =>
  one.era - other.era || one.offset - other.offset;

export default comparePositions;
