import { RetryBudget } from '@wisteriapath/model';
import type SharedLimits from './SharedLimits';

/** Part of the shared limit that is used; the rest is for what other instances do not know. */
const USED_PART = 0.75;

/** This instance's part of the repeats that each pool may be sent beyond first requests. */
class RepeatBudget {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly limits: SharedLimits,
    private readonly instances: () => number,
  ) {}

  /** Notes a first request for a pool. */
  noteRequest(pool: string): void {
    this.budget(pool).noteRequest();
  }

  /** Takes one repeat; false if none is left. */
  take(pool: string): boolean {
    return this.budget(pool).take();
  }

  private budget(pool: string): RetryBudget {
    const known = this.budgets.get(pool);
    if (known !== undefined) return known;
    const { retryRatio, retrySlack } = this.limits;
    const budget = new RetryBudget({
      share: retryRatio * USED_PART,
      most: () => Math.max(1, (retrySlack * USED_PART) / Math.max(1, this.instances())),
    });
    this.budgets.set(pool, budget);
    return budget;
  }
}

export default RepeatBudget;
