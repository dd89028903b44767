import type AnswerPace from './AnswerPace';

/**
 * Returns how long an answer takes at a pace, in milliseconds; undefined if the pace or its length is not known.
 *
 * @example
 * durationAtPace({ startMs: 200, msPerToken: 50 }, 20); // 1200
 */
const durationAtPace = (pace: AnswerPace | undefined, tokens: number | null): number | undefined =>
  pace && tokens !== null ? pace.startMs + pace.msPerToken * tokens : undefined;

export default durationAtPace;
