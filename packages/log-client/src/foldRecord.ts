import type Envelope from './Envelope';
import type Fold from './Fold';
import type FoldedStream from './FoldedStream';
import type LogRecord from './LogRecord';
import RecordVerdict from './RecordVerdict';
import decodeEnvelope from './decodeEnvelope';

/** Limits the ids for which a repeated or cancelled record is recognized. */
const MAX_RECENT_VERDICTS = 4_096;

type Verdicts = FoldedStream<unknown>['recentVerdicts'];

const withVerdict = (verdicts: Verdicts, id: string, verdict: RecordVerdict): Verdicts => {
  const next = verdicts.set(id, verdict);
  return next.size > MAX_RECENT_VERDICTS ? next.delete(next.keySeq().first()!) : next;
};

const foldCancel = <S>(folded: FoldedStream<S>, id: string): FoldedStream<S> => {
  if (folded.recentVerdicts.has(id)) return folded;
  const recentVerdicts = withVerdict(folded.recentVerdicts, id, RecordVerdict.Cancelled);
  return { ...folded, recentVerdicts };
};

const foldBody = <S>(
  fold: Fold<S>,
  folded: FoldedStream<S>,
  envelope: Envelope,
  record: LogRecord,
): FoldedStream<S> => {
  if (folded.recentVerdicts.has(envelope.id)) return folded;
  const step = fold.apply(folded.state, envelope.body, record, envelope.id);
  const verdict = step.accepted ? RecordVerdict.Accepted : RecordVerdict.Rejected;
  const recentVerdicts = withVerdict(folded.recentVerdicts, envelope.id, verdict);
  return { ...folded, recentVerdicts, state: step.state };
};

/**
 * Folds the next record of a stream. Skips records below `nextOffset`. Repeated and cancelled ids
 * have no effect. The caller must pass the records in offset order and without gaps.
 *
 * @example
 * folded = foldRecord(configFold, folded, record);
 */
const foldRecord = <S>(
  fold: Fold<S>,
  folded: FoldedStream<S>,
  record: LogRecord,
): FoldedStream<S> => {
  if (record.offset < folded.nextOffset) return folded;
  const advanced = { ...folded, nextOffset: record.offset + 1 };
  return decodeEnvelope(record.payload).caseOf({
    Nothing: () => advanced,
    Just: (envelope) =>
      envelope.cancels === undefined
        ? foldBody(fold, advanced, envelope, record)
        : foldCancel(advanced, envelope.cancels),
  });
};

export default foldRecord;
