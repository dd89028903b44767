import { RetryBudget } from '@wisteriapath/model';
import type SharedLimits from './SharedLimits';

/** Fraction of the shared limit that is used; the rest covers what the instances do not know of each other yet. */
const USED_FRACTION = 0.75;

/** This instance's retry budgets, one for each pool. */
class PoolRetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly limits: SharedLimits,
    private readonly instances: () => number,
  ) {}

  /** Records the first attempt of a request for a pool. */
  recordRequest(pool: string): void {
    this.budget(pool).recordRequest();
  }

  /** Takes one retry from the budget of a pool; returns false if none is left. */
  tryTake(pool: string): boolean {
    return this.budget(pool).take();
  }

  private budget(pool: string): RetryBudget {
    const known = this.budgets.get(pool);
    if (known !== undefined) return known;
    const { retryRatio, retrySlack } = this.limits;
    const budget = new RetryBudget({
      retriesPerRequest: retryRatio * USED_FRACTION,
      maxSavedRetries: () =>
        Math.max(1, (retrySlack * USED_FRACTION) / Math.max(1, this.instances())),
    });
    this.budgets.set(pool, budget);
    return budget;
  }
}

export default PoolRetryBudgets;
