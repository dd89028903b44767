import type { Maybe } from 'purify-ts';
import type BudgetSyncRequest from './BudgetSyncRequest';
import type BudgetSyncReply from './BudgetSyncReply';

/** The transport to the budget home of a failure domain. */
interface BudgetLink {
  /** Calls the home. Resolves to `Nothing` if there is no home or no reply. Never rejects. */
  sync(failureDomain: string, request: BudgetSyncRequest): Promise<Maybe<BudgetSyncReply>>;
}

export default BudgetLink;
