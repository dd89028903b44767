/** Outcome of a request that was sent to a target. */
enum TargetOutcome {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Slow = 'slow',
  /** The instance gave up the request; the target may still be working on it. */
  Cancelled = 'cancelled',
}

export default TargetOutcome;
