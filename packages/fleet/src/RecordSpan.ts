import type KeyedRecord from './KeyedRecord';
import type StorePosition from './StorePosition';

/** What was written to a topic between two positions. All positions of a span are of one era, that of `to`. */
interface RecordSpan {
  /** Position at which the span begins; `null` for a list of all keys, which depends on no earlier span. */
  readonly from: StorePosition | null;
  /** Position after the span. */
  readonly to: StorePosition;
  readonly records: readonly KeyedRecord[];
  /**
   * Whether the span has every record that was written. Otherwise it has only the newest record of each key, and
   * none of a key whose content is the same at both ends.
   */
  readonly hasEveryRecord: boolean;
  /** For a list of all keys: time after which the deletion of a key that it lacks is final. */
  readonly settlesInMs: number;
}

export default RecordSpan;
