/** How fast answers come, by one of the lengths that requests state. Pauses count as part of the pace. */
interface AnswerPace {
  /** Time until the first event, with the wait in the engine's queue. */
  readonly startMs: number;
  /** Time from the first event on for each token of the length that its request states. */
  readonly msPerToken: number;
}

export default AnswerPace;
