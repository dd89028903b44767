import type LeaseState from './LeaseState';

/** Era of a store that has never come back from an older copy, or does not say; a lease that was never held has it too. */
const FIRST_ERA = 0;

/**
 * Whether what the store says of a lease was written in its present era. Any other record, or none, may be an older
 * copy, or an append from before the return of the store that was carried out late.
 *
 * @example
 * isCertainLease({ era: 2, record: null, nextOffset: 0 }); // false
 */
const isCertainLease = ({ era, record }: Pick<LeaseState, 'era' | 'record'>): boolean =>
  (record?.writtenInEra ?? FIRST_ERA) === era;

export default isCertainLease;
