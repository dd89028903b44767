import type { OrderedMap } from 'immutable';
import type RecordVerdict from './RecordVerdict';

/** State of a stream after folding all records before `nextOffset`. */
interface FoldedStream<S> {
  readonly nextOffset: number;
  /** Verdicts by record id, oldest first. Limited to the most recent ids. */
  readonly recentVerdicts: OrderedMap<string, RecordVerdict>;
  readonly state: S;
}

export default FoldedStream;
