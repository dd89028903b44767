interface Limits {
  /** Retries that each first attempt adds to the budget. */
  readonly retriesPerRequest: number;
  /** Returns the current maximum of unused retries. */
  readonly maxSavedRetries: () => number;
}

/**
 * A token bucket that limits retries to a share of the requests, so that failures do not multiply
 * the load. It starts full.
 *
 * @example
 * const budget = new RetryBudget({ retriesPerRequest: 0.1, maxSavedRetries: () => 10 });
 * if (budget.take()) retry();
 */
class RetryBudget {
  private availableRetries: number;

  constructor(private readonly limits: Limits) {
    this.availableRetries = limits.maxSavedRetries();
  }

  /** Records a first attempt. */
  recordRequest(): void {
    this.availableRetries = Math.min(
      this.limits.maxSavedRetries(),
      this.availableRetries + this.limits.retriesPerRequest,
    );
  }

  /** Takes one retry from the budget. Returns false if none is left. */
  take(): boolean {
    if (this.availableRetries < 1) return false;
    this.availableRetries -= 1;
    return true;
  }
}

export default RetryBudget;
