import type WaitingWork from './WaitingWork';

/**
 * Returns the time by which the start of work can be postponed before the next loss: missing the latency objective if that can still
 * be met, otherwise missing the deadline. Negative if nothing can be gained any more. `readyInMs` is the time from a start now until
 * the caller has what the objective counts, such as the time of a load.
 *
 * @example
 * slackMs({ ...draft, latencyTargetMs: 5_000, waitedMs: 1_000, leftMs: 16_000 }, 800); // 3_200
 */
const slackMs = (
  { latencyTargetMs, waitedMs, leftMs }: Omit<WaitingWork, 'workspace'>,
  readyInMs: number,
): number => {
  const untilDeadlineMs = leftMs - readyInMs;
  const untilLateMs = latencyTargetMs - waitedMs - readyInMs;
  return untilLateMs >= 0 ? Math.min(untilLateMs, untilDeadlineMs) : untilDeadlineMs;
};

export default slackMs;
