import { OrderedMap } from 'immutable';
import type Fold from './Fold';
import type Folded from './Folded';

/**
 * Returns the state of a stream before its first record.
 *
 * @example
 * records.reduce((folded, record) => foldRecord(fold, folded, record), emptyFolded(fold));
 */
const emptyFolded = <S>(fold: Fold<S>): Folded<S> => ({
  nextOffset: 0,
  recentVerdicts: OrderedMap(),
  state: fold.initial,
});

export default emptyFolded;
