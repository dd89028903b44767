interface Limits {
  /** Retries that each first attempt adds to the budget. */
  readonly share: number;
  /** Returns the current maximum of unused retries. */
  readonly most: () => number;
}

/**
 * A token bucket that limits retries to a share of the requests, so that failures do not multiply
 * the load. It starts full.
 *
 * @example
 * const budget = new RetryBudget({ share: 0.1, most: () => 10 });
 * if (budget.take()) retry();
 */
class RetryBudget {
  private availableRetries: number;

  constructor(private readonly limits: Limits) {
    this.availableRetries = limits.most();
  }

  /** Records a first attempt. */
  noteRequest(): void {
    this.availableRetries = Math.min(this.limits.most(), this.availableRetries + this.limits.share);
  }

  /** Takes one retry from the budget. Returns false if none is left. */
  take(): boolean {
    if (this.availableRetries < 1) return false;
    this.availableRetries -= 1;
    return true;
  }
}

export default RetryBudget;
