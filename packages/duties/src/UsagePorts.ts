import type { LeaseStore } from '@wisteriapath/fleet';
import type DatedAnswer from './DatedAnswer';
import type UsageJournal from './UsageJournal';

/** What the usage duty needs of the platform's store. */
interface UsagePorts {
  /** Keeps the lease of the duty, in the same partition as the journal. */
  readonly leaseStore: LeaseStore;
  readonly journal: UsageJournal;
  /** Tells the dates of the store's answers from now on. */
  readonly followDates: (observe: (answer: DatedAnswer) => void) => void;
}

export default UsagePorts;
