import type LeaseAppend from './LeaseAppend';
import type StorePosition from './StorePosition';

/** A further record that the holder appends beside those of its lease. */
interface LeaseEntry {
  readonly append: (at: StorePosition) => Promise<LeaseAppend | undefined>;
  readonly onEnd: (isStored: boolean) => void;
}

export default LeaseEntry;
