import type { Maybe } from 'purify-ts';
import type Folded from './Folded';
import type Snapshot from './Snapshot';

/** Serializes the state of a stream into snapshots and restores it. */
interface SnapshotCodec<S> {
  encode(folded: Folded<S>): Snapshot;
  /** Restores the state. Returns `Nothing` if the text does not match its hash. */
  decode(snapshot: Snapshot): Maybe<Folded<S>>;
}

export default SnapshotCodec;
