import type RankedWork from './RankedWork';

/**
 * Waiting time that counts as one step of priority. Requests of priority 2 with a deadline of 17 s then come before requests of
 * priority 0 that have just arrived once they have waited for 12 s, in time for several loads.
 */
const AGING_STEP_MS = 4_000;

/**
 * Returns the priority with the steps gained by waiting. It has no lower bound, so that work that has waited long enough comes before
 * all that has just arrived, and nothing starves.
 *
 * @example
 * agedPriority({ priority: 2, waitedMs: 9_000 }); // 0
 */
const agedPriority = ({ priority, waitedMs }: Pick<RankedWork, 'priority' | 'waitedMs'>): number =>
  priority - Math.floor(Math.max(0, waitedMs) / AGING_STEP_MS);

export default agedPriority;
