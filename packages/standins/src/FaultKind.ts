/** Faults that every stand-in can be switched to over `/faults`. */
enum FaultKind {
  None = 'none',
  /** Answers after a delay. */
  Slow = 'slow',
  /** Answers 503 without effect. */
  Refuse = 'refuse',
  /** Breaks the connection without effect. */
  Down = 'down',
  /** Takes effect, then breaks the connection. */
  LoseAnswer = 'lose_answer',
  /** Takes the request without effect and never answers. */
  Silent = 'silent',
  /** Takes effect after a delay, while the connection is broken at once. */
  LateEffect = 'late_effect',
}

export default FaultKind;
