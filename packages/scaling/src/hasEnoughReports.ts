/** Reports are lost one by one on a bad network. More that are missing show that this instance is cut off. */
const MIN_REPORTING_FRACTION = 0.9;

/**
 * Whether demand is known well enough if this fraction of the instances has reported it. Engines seem idle without the
 * other reports.
 *
 * @example
 * hasEnoughReports(57 / 58); // true
 */
const hasEnoughReports = (fraction: number): boolean => fraction >= MIN_REPORTING_FRACTION;

export default hasEnoughReports;
