import type AnswerTimes from './AnswerTimes';
import DurationSource from './DurationSource';
import type DurationWay from './DurationWay';
import type ExpectedDuration from './ExpectedDuration';
import type TimedRequest from './TimedRequest';
import durationAtPace from './durationAtPace';
import durationBy from './durationBy';

/** The callers' estimates are no bound, and neither are objectives nor answers of unknown length. */
const WAYS: readonly DurationWay[] = [
  [
    DurationSource.ModelSlowest,
    ({ pool, fields }, times, nowMs) =>
      durationAtPace(times.slowestOfModel(pool.name, fields.model, nowMs), fields.outputTokens),
  ],
  [
    DurationSource.PoolSlowest,
    ({ pool, fields }, times, nowMs) =>
      durationAtPace(times.slowestOfPool(pool.name, nowMs), fields.outputTokens),
  ],
];

/**
 * Returns how long a request takes at worst if it is sent now: all tokens that it allows at the slowest start and pace of recent
 * answers and of those under way, and never longer than until its deadline.
 *
 * @example
 * const { durationMs, source } = boundDuration(request, times, clock.nowMs());
 */
const boundDuration = (
  request: TimedRequest,
  times: AnswerTimes,
  nowMs: number,
): ExpectedDuration => durationBy(WAYS, request, times, nowMs);

export default boundDuration;
