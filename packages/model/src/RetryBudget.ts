interface Limits {
  /** Repeats that each first request adds. */
  readonly share: number;
  /** Repeats that may be saved up, as it stands now. */
  readonly most: () => number;
}

/**
 * Bounds repeats to a share of the requests, so that failures do not multiply load. It starts full.
 *
 * @example
 * const budget = new RetryBudget({ share: 0.1, most: () => 10 });
 * if (budget.take()) sendAgain();
 */
class RetryBudget {
  private availableRetries: number;

  constructor(private readonly limits: Limits) {
    this.availableRetries = limits.most();
  }

  /** Notes a first request. */
  noteRequest(): void {
    this.availableRetries = Math.min(this.limits.most(), this.availableRetries + this.limits.share);
  }

  /** Takes one repeat; false if none is left. */
  take(): boolean {
    if (this.availableRetries < 1) return false;
    this.availableRetries -= 1;
    return true;
  }
}

export default RetryBudget;
