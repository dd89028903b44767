import { OrderedMap } from 'immutable';
import type Fold from './Fold';
import type FoldedStream from './FoldedStream';

/**
 * Returns the state of a stream before its first record.
 *
 * @example
 * records.reduce((folded, record) => foldRecord(fold, folded, record), emptyFoldedStream(fold));
 */
const emptyFoldedStream = <S>(fold: Fold<S>): FoldedStream<S> => ({
  nextOffset: 0,
  recentVerdicts: OrderedMap(),
  state: fold.initial,
});

export default emptyFoldedStream;
