import type RankedWork from './RankedWork';
import type WaitingWork from './WaitingWork';
import slackMs from './slackMs';
import valueKept from './valueKept';

/**
 * Returns what the order of work depends on. `readyInMs` is the time from a start now until the caller has what the objective counts.
 *
 * @example
 * const ranked = works.map((work) => rankWork(work, 0)).sort(compareWaiting);
 */
const rankWork = (work: WaitingWork, readyInMs: number): RankedWork => ({
  priority: work.priority,
  slackMs: slackMs(work, readyInMs),
  waitedMs: work.waitedMs,
  valuePerMs: valueKept(work, readyInMs) / Math.max(1, work.workMs),
});

export default rankWork;
