import type RecordSpan from './RecordSpan';
import type StorePosition from './StorePosition';
import type StoreTopic from './StoreTopic';

/** Receiver of the records that are read from the platform's store. */
interface RecordSink {
  /** Position up to which all records of a topic are known; undefined before its first list of all keys. */
  end(topic: StoreTopic): StorePosition | undefined;
  /** Latest time at which a topic is known to have been complete, on the monotonic clock; -Infinity before its first list. */
  confirmedAtMs(topic: StoreTopic): number;
  /** Since when records of a topic are known to be missing, on the monotonic clock; undefined if none are. */
  behindSinceMs(topic: StoreTopic): number | undefined;
  /** Whether another instance is said to have read a topic in a newer era of the store. */
  isOfOlderEra(topic: StoreTopic): boolean;
  /** Merges records that were read from the store. */
  mergeFromStore(topic: StoreTopic, span: RecordSpan): void;
  /** Notes that a read of the store, begun at `beganMs` on the monotonic clock, found nothing after what is known. */
  confirmEnd(topic: StoreTopic, beganMs: number): void;
  /** Forgets the positions of a topic, but no content: the store does not have the one up to which it was read. */
  forgetPositions(topic: StoreTopic): void;
}

export default RecordSink;
