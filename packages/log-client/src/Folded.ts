import type { OrderedMap } from 'immutable';
import type RecordVerdict from './RecordVerdict';

/** State of a stream folded up to, not including, `nextOffset`. */
interface Folded<S> {
  readonly nextOffset: number;
  /** Verdicts of the latest record ids, oldest first. */
  readonly recentVerdicts: OrderedMap<string, RecordVerdict>;
  readonly state: S;
}

export default Folded;
