import type { Clock, Deadline } from '@wisteriapath/model';
import AppendResult from './AppendResult';
import type Envelope from './Envelope';
import type LogPort from './LogPort';
import RecordVerdict from './RecordVerdict';
import type AppendOutcome from './AppendOutcome';
import OutcomeKind from './OutcomeKind';
import type StreamReplica from './StreamReplica';
import backoffMs from './backoffMs';
import encodeEnvelope from './encodeEnvelope';

const RETRY_BASE_MS = 30;
const RETRY_MAX_MS = 500;
/** Minimum time left for an append call. A call cut off by the deadline has an unknown outcome. */
const MIN_ATTEMPT_TIME_MS = 100;
/** Share of the time left that is reserved for cancelling an append of unknown outcome. */
const SETTLE_TIME_RATIO = 0.3;

interface Dependencies {
  readonly log: LogPort;
  readonly clock: Clock;
}

const OUTCOME_BY_VERDICT: Readonly<Record<RecordVerdict, OutcomeKind>> = {
  [RecordVerdict.Accepted]: OutcomeKind.Accepted,
  [RecordVerdict.Rejected]: OutcomeKind.Rejected,
  [RecordVerdict.Cancelled]: OutcomeKind.NotWritten,
};

const createCancelEnvelope = (id: string): Envelope => ({ id: `${id}/cancel`, cancels: id });

/** Makes one append call. Its result is `Unknown` if it has not ended by the deadline. */
const appendWithTimeout = async (
  { log, clock }: Dependencies,
  stream: string,
  payload: string,
  deadline: Deadline,
): Promise<AppendResult> => {
  const timeoutController = new AbortController();
  const timeout = clock.sleep(deadline.remainingMs(), timeoutController.signal);
  const appended = log.append(stream, [payload]);
  const result = await Promise.race([appended, timeout.then(() => AppendResult.Unknown)]);
  timeoutController.abort();
  return result;
};

/**
 * Repeats an append until the log confirms it, `isDone` holds or no time is left. Returns true if
 * the record may be in the log.
 */
const appendRepeatedly = async (
  { log, clock }: Dependencies,
  stream: string,
  payload: string,
  deadline: Deadline,
  isDone: () => boolean,
): Promise<boolean> => {
  let mayBeWritten = false;
  const hasTimeLeft = () => deadline.remainingMs() >= MIN_ATTEMPT_TIME_MS;
  for (let attempt = 0; hasTimeLeft() && !isDone(); attempt += 1) {
    const result = await appendWithTimeout({ log, clock }, stream, payload, deadline);
    mayBeWritten ||= result !== AppendResult.NotAppended;
    if (result === AppendResult.Appended) return true;
    const waitMs = backoffMs(attempt, RETRY_BASE_MS, RETRY_MAX_MS);
    await clock.sleep(Math.min(deadline.remainingMs(), waitMs));
  }
  return mayBeWritten;
};

/**
 * Appends a body under a unique id and waits until the replica has folded it. If a response is
 * lost, the append is repeated under the same id. If the record is still not folded, an undo record
 * is appended, and whichever of the two comes first in the log determines the outcome.
 * `createUndoEnvelope` makes the undo record; by default, it cancels the id.
 *
 * @example
 * const { kind } = await appendUntilSettled(dependencies, replica, ids.next(), edit, deadline);
 */
const appendUntilSettled = async <S>(
  dependencies: Dependencies,
  replica: StreamReplica<S>,
  id: string,
  body: unknown,
  deadline: Deadline,
  createUndoEnvelope: (id: string) => Envelope = createCancelEnvelope,
): Promise<AppendOutcome> => {
  const isFolded = () => replica.verdict(id) !== undefined;
  const foldedOutcome = (): AppendOutcome => ({
    id,
    kind: OUTCOME_BY_VERDICT[replica.verdict(id)!],
  });
  const appendDeadline = deadline.earlierBy(deadline.remainingMs() * SETTLE_TIME_RATIO);
  const payload = encodeEnvelope({ id, body });
  const mayBeWritten = await appendRepeatedly(
    dependencies,
    replica.stream,
    payload,
    appendDeadline,
    isFolded,
  );
  if (!mayBeWritten) return { id, kind: OutcomeKind.NotWritten };
  if (await replica.waitUntil(isFolded, appendDeadline)) return foldedOutcome();
  const undo = createUndoEnvelope(id);
  const isUndone = () => replica.verdict(undo.id) === RecordVerdict.Accepted;
  const isDecided = () => isUndone() || (undo.cancels !== undefined && isFolded());
  await appendRepeatedly(dependencies, replica.stream, encodeEnvelope(undo), deadline, isDecided);
  if (!(await replica.waitUntil(isDecided, deadline))) return { id, kind: OutcomeKind.Unknown };
  return isUndone() ? { id, kind: OutcomeKind.NotWritten } : foldedOutcome();
};

export default appendUntilSettled;
