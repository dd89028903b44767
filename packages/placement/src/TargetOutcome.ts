/** How a target dealt with a request that it was sent. */
enum TargetOutcome {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Slow = 'slow',
  /** This side gave up; the target may not have noticed yet. */
  Cancelled = 'cancelled',
}

export default TargetOutcome;
