import { RouteSemantics } from '@wisteriapath/fleet';
import type AnswerTimes from './AnswerTimes';
import DurationSource from './DurationSource';
import type DurationWay from './DurationWay';
import type ExpectedDuration from './ExpectedDuration';
import type TimedRequest from './TimedRequest';
import type TokenCounts from './TokenCounts';
import durationAtPace from './durationAtPace';
import durationBy from './durationBy';

type Way = DurationWay[1];

const byModel =
  (length: keyof TokenCounts): Way =>
  ({ pool, fields }, times) =>
    durationAtPace(times.modelPace(pool.name, fields.model, length), fields[length]);

const byPool =
  (length: keyof TokenCounts): Way =>
  ({ pool, fields }, times) =>
    durationAtPace(times.poolPace(pool.name, length), fields[length]);

/** Each event has a token at least, so that a stream which meets its objectives takes no longer. */
const byObjectives: Way = ({ route, fields: { estimatedTokens, outputTokens } }) => {
  const { semantics, latencyTargetMs, gapTargetMs } = route;
  if (semantics !== RouteSemantics.Stream) return latencyTargetMs;
  const tokens = estimatedTokens ?? outputTokens;
  const isKnown = tokens !== null && gapTargetMs > 0;
  return isKnown ? latencyTargetMs + tokens * gapTargetMs : undefined;
};

/** The ways to an expectation, the best one first. */
const WAYS: readonly DurationWay[] = [
  [DurationSource.ModelEstimate, byModel('estimatedTokens')],
  [DurationSource.ModelPace, byModel('outputTokens')],
  [DurationSource.PoolEstimate, byPool('estimatedTokens')],
  [DurationSource.PoolPace, byPool('outputTokens')],
  [DurationSource.RouteLongest, ({ route }, times) => times.longestMs(route.name)],
  [DurationSource.Objectives, byObjectives],
];

/**
 * Returns how long a request is expected to take if it is sent now: by the pace of recent answers and the length that it states, else
 * by the longest answer on its route, and never longer than until its deadline.
 *
 * @example
 * const { durationMs, source } = expectDuration(request, times, clock.nowMs());
 */
const expectDuration = (
  request: TimedRequest,
  times: AnswerTimes,
  nowMs: number,
): ExpectedDuration => durationBy(WAYS, request, times, nowMs);

export default expectDuration;
