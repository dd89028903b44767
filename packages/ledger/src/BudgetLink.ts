import type { Maybe } from 'purify-ts';
import type BudgetSync from './BudgetSync';
import type BudgetSynced from './BudgetSynced';

/** Reaches the budget home of a failure domain. */
interface BudgetLink {
  /** `Nothing` if there is no home or it does not answer. Never rejects. */
  sync(failureDomain: string, request: BudgetSync): Promise<Maybe<BudgetSynced>>;
}

export default BudgetLink;
