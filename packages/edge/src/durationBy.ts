import type AnswerTimes from './AnswerTimes';
import DurationSource from './DurationSource';
import type DurationWay from './DurationWay';
import type ExpectedDuration from './ExpectedDuration';
import type TimedRequest from './TimedRequest';

/** How much longer than recent ones an answer may take, as targets slow down and pause. */
const ALLOWANCE = 1.1;

/**
 * Returns how long a request takes if it is sent now by the first of some ways that knows, and never longer than until its deadline.
 *
 * @example
 * durationBy(ways, request, times, clock.nowMs());
 */
const durationBy = (
  ways: readonly DurationWay[],
  request: TimedRequest,
  times: AnswerTimes,
  nowMs: number,
): ExpectedDuration => {
  const untilDeadlineMs = Math.max(0, request.deadlineAtMs - nowMs);
  for (const [source, durationOf] of ways) {
    const knownMs = durationOf(request, times, nowMs);
    if (knownMs !== undefined) {
      const durationMs = knownMs * ALLOWANCE;
      return durationMs < untilDeadlineMs
        ? { durationMs, source }
        : { durationMs: untilDeadlineMs, source: DurationSource.Deadline };
    }
  }
  return { durationMs: untilDeadlineMs, source: DurationSource.Nothing };
};

export default durationBy;
