import type { Maybe } from 'purify-ts';
import type FoldedStream from './FoldedStream';
import type Snapshot from './Snapshot';

/** Serializes the state of a stream into snapshots and restores it. */
interface SnapshotCodec<S> {
  encode(folded: FoldedStream<S>): Snapshot;
  /** Restores the state. Returns `Nothing` if the text does not match its hash. */
  decode(snapshot: Snapshot): Maybe<FoldedStream<S>>;
}

export default SnapshotCodec;
