import type StorePosition from './StorePosition';

/** More records than a topic of one era can have. Eras up to 2^21 keep the token an exact integer. */
const OFFSETS_PER_ERA = 2 ** 32;

/**
 * Returns the fencing token of a tenure by the position of the record that began it, in the era in which the store said
 * that it was appended. A position of one era belongs to one record, and the era rises before an offset is given out
 * again, so that tokens differ and rise with each tenure.
 *
 * @example
 * fenceOf({ era: 0, offset: 22 }); // 23
 */
const fenceOf = ({ era, offset }: StorePosition): number => era * OFFSETS_PER_ERA + offset + 1;

export default fenceOf;
