import type RecordSpan from './RecordSpan';
import type StoreTopic from './StoreTopic';

/** Receiver of the records that are read from the platform's store. */
interface RecordSink {
  /** Offset up to which all records of a topic are known; undefined before its first list of all keys. */
  end(topic: StoreTopic): number | undefined;
  /** When a topic was last known to be complete, on the monotonic clock; -Infinity before its first list. */
  confirmedAtMs(topic: StoreTopic): number;
  /** Since when records of a topic are known to be missing, on the monotonic clock; undefined if none are. */
  behindSinceMs(topic: StoreTopic): number | undefined;
  /** Merges records that were read from the store. */
  mergeFromStore(topic: StoreTopic, span: RecordSpan): void;
}

export default RecordSink;
