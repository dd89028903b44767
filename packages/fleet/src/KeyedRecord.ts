import type StorePosition from './StorePosition';

/** The newest known record of one key of a topic of the platform's store. */
interface KeyedRecord {
  readonly key: string;
  /** Position in the topic; a later one means a newer record. */
  readonly position: StorePosition;
  /** The bytes as the store holds them; empty if the record deletes its key. */
  readonly value: Uint8Array;
  /** Time since an instance read the record from the store. */
  readonly ageMs: number;
  /** Time after which a deletion is final, unless the key is written again before; 0 for other records. */
  readonly settlesInMs: number;
}

export default KeyedRecord;
