import {
  emptyFoldedStream,
  encodeEnvelope,
  type Envelope,
  type Fold,
  type FoldedStream,
  foldRecord,
} from '@wisteriapath/log-client';

/**
 * Folds a log of envelopes with the fold function of a library. If `hasUniqueIds` is false, repeats
 * are not recognized: each record is folded as if its append had an id of its own.
 *
 * @example
 * foldAll(configFold, log, true).state;
 */
const foldAll = <S>(
  fold: Fold<S>,
  log: readonly Envelope[],
  hasUniqueIds: boolean,
): FoldedStream<S> =>
  log.reduce((folded, envelope, offset) => {
    const id = hasUniqueIds ? envelope.id : `${envelope.id}@${offset}`;
    const payload = encodeEnvelope({ ...envelope, id });
    return foldRecord(fold, folded, { offset, atMs: 0, payload });
  }, emptyFoldedStream(fold));

export default foldAll;
