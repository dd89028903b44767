const RETRY_SHARE = 0.1;
const RESERVE = 10;

/** Bounds retries to a share of the requests, so that failures do not multiply load. */
class RetryBudget {
  private tokens = RESERVE;

  /** Notes a first attempt. */
  noteRequest(): void {
    this.tokens = Math.min(RESERVE, this.tokens + RETRY_SHARE);
  }

  /** Takes one retry; false if the budget is used up. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

export default RetryBudget;
