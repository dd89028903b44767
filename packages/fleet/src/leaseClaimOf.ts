import LeaseClaim from './LeaseClaim';
import type LeaseState from './LeaseState';
import isCertainLease from './isCertainLease';

/**
 * Returns when a machine may take a lease by what the store says of it. Only what was written in the present era of the
 * store is certain: any other record, or none, may be an older copy, and a holder whose records are gone may still have
 * authority.
 *
 * @example
 * leaseClaimOf({ era: 2, record: null, nextOffset: 0 }, 'one'); // LeaseClaim.AfterExpiry
 */
const leaseClaimOf = (state: LeaseState, machine: string): LeaseClaim => {
  const { record } = state;
  if (!isCertainLease(state)) return LeaseClaim.AfterExpiry;
  if (record === null) return LeaseClaim.AtOnce;
  const isOwn = record.holder.split('#')[0] === machine;
  if (isOwn && record.isSettled) return LeaseClaim.AtOnce;
  return isOwn || record.released ? LeaseClaim.AfterHandover : LeaseClaim.AfterExpiry;
};

export default leaseClaimOf;
