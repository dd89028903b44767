import type LeaseModel from './LeaseModel';

/** Stands for a record that no machine can read any more. */
const PAST_ENTRY = { holder: '', released: false, isSettled: false, writtenInEra: 0 };

/**
 * Returns a state without what no step can depend on any more, so that equal states are recognized.
 *
 * @example
 * const next = leaseWithoutPast(state);
 */
const leaseWithoutPast = (state: LeaseModel): LeaseModel => {
  if (state.returnsLeft > 0) return state;
  const { entries, stray } = state;
  const isLate = stray !== null && stray.at.offset < entries.length;
  return {
    ...state,
    entries: entries.map((entry, index) => (index === entries.length - 1 ? entry : PAST_ENTRY)),
    stray: isLate ? null : stray,
  };
};

export default leaseWithoutPast;
