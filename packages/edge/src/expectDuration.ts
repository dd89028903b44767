import { RouteSemantics } from '@wisteriapath/fleet';
import type AnswerPace from './AnswerPace';
import type AnswerTimes from './AnswerTimes';
import DurationSource from './DurationSource';
import type ExpectedDuration from './ExpectedDuration';
import type TimedRequest from './TimedRequest';
import type TokenCounts from './TokenCounts';

/** How much longer than recent ones an answer may take, as targets slow down and pause. */
const ALLOWANCE = 1.1;

type Way = (request: TimedRequest, times: AnswerTimes) => number | undefined;

const atPace = (pace: AnswerPace | undefined, tokens: number | null): number | undefined =>
  pace && tokens !== null ? pace.startMs + pace.msPerToken * tokens : undefined;

const byModel =
  (length: keyof TokenCounts): Way =>
  ({ pool, fields }, times) =>
    atPace(times.modelPace(pool.name, fields.model, length), fields[length]);

const byPool =
  (length: keyof TokenCounts): Way =>
  ({ pool, fields }, times) =>
    atPace(times.poolPace(pool.name, length), fields[length]);

/** Each event has a token at least, so that a stream which meets its objectives takes no longer. */
const byObjectives: Way = ({ route, fields: { estimatedTokens, outputTokens } }) => {
  const { semantics, latencyTargetMs, gapTargetMs } = route;
  if (semantics !== RouteSemantics.Stream) return latencyTargetMs;
  const tokens = estimatedTokens ?? outputTokens;
  const isKnown = tokens !== null && gapTargetMs > 0;
  return isKnown ? latencyTargetMs + tokens * gapTargetMs : undefined;
};

/** The ways to an expectation, the best one first. Each returns a time in milliseconds, or undefined if it does not know. */
const WAYS: readonly (readonly [DurationSource, Way])[] = [
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
): ExpectedDuration => {
  const untilDeadlineMs = Math.max(0, request.deadlineAtMs - nowMs);
  for (const [source, durationOf] of WAYS) {
    const knownMs = durationOf(request, times);
    if (knownMs !== undefined) {
      const durationMs = knownMs * ALLOWANCE;
      return durationMs < untilDeadlineMs
        ? { durationMs, source }
        : { durationMs: untilDeadlineMs, source: DurationSource.Deadline };
    }
  }
  return { durationMs: untilDeadlineMs, source: DurationSource.Nothing };
};

export default expectDuration;
