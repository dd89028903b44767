/** How long one answer took, from when its request was sent to a target. */
interface AnswerTime {
  /** Time until the first event of a stream was complete; `null` where no event came or the answer is no stream. */
  readonly firstEventMs: number | null;
  readonly totalMs: number;
}

export default AnswerTime;
