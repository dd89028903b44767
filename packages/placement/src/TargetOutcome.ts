/** How a target dealt with a request that it was sent. */
enum TargetOutcome {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Slow = 'slow',
}

export default TargetOutcome;
