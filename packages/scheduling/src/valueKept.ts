import type WaitingWork from './WaitingWork';

/** Value of an answer that misses its latency objective, relative to one that meets it. */
const LATE_VALUE = 0.2;

/**
 * Returns the value that is kept if work starts now and lost if it waits for longer than its slack: the difference between an answer
 * in time and a late one where the objective can still be met, otherwise that between a late answer and none.
 *
 * @example
 * valueKept({ ...work, count: 2, latencyTargetMs: 500, waitedMs: 100, leftMs: 1_900 }, 200); // 1.6
 */
const valueKept = (
  { latencyTargetMs, waitedMs, leftMs, count }: Omit<WaitingWork, 'workspace'>,
  readyInMs: number,
): number => {
  if (leftMs < readyInMs) return 0;
  const isInTime = latencyTargetMs - waitedMs >= readyInMs;
  return count * (isInTime ? 1 - LATE_VALUE : LATE_VALUE);
};

export default valueKept;
