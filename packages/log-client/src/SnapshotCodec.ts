import type { Maybe } from 'purify-ts';
import type Folded from './Folded';
import type Snapshot from './Snapshot';

/** Turns folds into snapshots and back. */
interface SnapshotCodec<S> {
  encode(folded: Folded<S>): Snapshot;
  /** `Nothing` if the text does not match its hash. */
  decode(snapshot: Snapshot): Maybe<Folded<S>>;
}

export default SnapshotCodec;
