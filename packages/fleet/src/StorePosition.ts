/**
 * A position in a topic of the platform's store. Offsets of different eras say nothing about each other: compare two
 * positions with `comparePositions` only.
 */
interface StorePosition {
  /** Rises by one each time the store comes back from an older copy; 0 where the store does not say. */
  readonly era: number;
  /** Offset within the era; it is given out again in later eras. */
  readonly offset: number;
}

export default StorePosition;
