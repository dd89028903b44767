import type AnswerTimes from './AnswerTimes';
import type DurationSource from './DurationSource';
import type TimedRequest from './TimedRequest';

/** A way to tell how long a request takes, and its name: returns a time in milliseconds, or undefined if it does not know. */
type DurationWay = readonly [
  DurationSource,
  (request: TimedRequest, times: AnswerTimes, nowMs: number) => number | undefined,
];

export default DurationWay;
