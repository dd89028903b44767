import type { Maybe } from 'purify-ts';
import type BudgetSyncRequest from './BudgetSyncRequest';
import type BudgetSyncReply from './BudgetSyncReply';

/** Reaches the budget home of a failure domain. */
interface BudgetLink {
  /** `Nothing` if there is no home or it does not answer. Never rejects. */
  sync(failureDomain: string, request: BudgetSyncRequest): Promise<Maybe<BudgetSyncReply>>;
}

export default BudgetLink;
