import type { Clock, Deadline } from '@wisteriapath/model';
import AppendResult from './AppendResult';
import type Envelope from './Envelope';
import type LogPort from './LogPort';
import RecordVerdict from './RecordVerdict';
import type Settlement from './Settlement';
import SettlementKind from './SettlementKind';
import type StreamReplica from './StreamReplica';
import backoffMs from './backoffMs';
import encodeEnvelope from './encodeEnvelope';

const RETRY_BASE_MS = 30;
const RETRY_CAP_MS = 500;
/** No call is begun with less time left: cut off, its outcome would be unknown. */
const MIN_ATTEMPT_MS = 100;
/** Share of the time left that is kept for settling an append of unknown outcome. */
const SETTLING_SHARE = 0.3;

interface Tools {
  readonly log: LogPort;
  readonly clock: Clock;
}

const SETTLEMENT_OF_VERDICT: Readonly<Record<RecordVerdict, SettlementKind>> = {
  [RecordVerdict.Accepted]: SettlementKind.Accepted,
  [RecordVerdict.Rejected]: SettlementKind.Rejected,
  [RecordVerdict.Cancelled]: SettlementKind.NotWritten,
};

const cancelOf = (id: string): Envelope => ({ id: `${id}/cancel`, cancels: id });

/** One append call; of unknown outcome if it has not ended by the deadline. */
const appendInTime = async (
  { log, clock }: Tools,
  stream: string,
  payload: string,
  deadline: Deadline,
): Promise<AppendResult> => {
  const ended = new AbortController();
  const timeout = clock.sleep(deadline.remainingMs(), ended.signal);
  const appended = log.append(stream, [payload]);
  const result = await Promise.race([appended, timeout.then(() => AppendResult.Unknown)]);
  ended.abort();
  return result;
};

/** Repeats an append until it is confirmed, folded or out of time; true if it may be in the log. */
const appendRepeatedly = async (
  { log, clock }: Tools,
  stream: string,
  payload: string,
  deadline: Deadline,
  folded: () => boolean,
): Promise<boolean> => {
  let mayBeWritten = false;
  const isTimeLeft = () => deadline.remainingMs() >= MIN_ATTEMPT_MS;
  for (let attempt = 0; isTimeLeft() && !folded(); attempt += 1) {
    const result = await appendInTime({ log, clock }, stream, payload, deadline);
    mayBeWritten ||= result !== AppendResult.NotAppended;
    if (result === AppendResult.Appended) return true;
    const waitMs = backoffMs(attempt, RETRY_BASE_MS, RETRY_CAP_MS);
    await clock.sleep(Math.min(deadline.remainingMs(), waitMs));
  }
  return mayBeWritten;
};

/**
 * Appends a body under a unique id and waits until the replica has folded it. A lost answer is
 * settled by repeating under the same id, then by appending an undo record: whichever comes first
 * in the log decides. `undoOf` makes that record; by default it cancels the id.
 *
 * @example
 * const { kind } = await appendUntilSettled(tools, replica, ids.next(), edit, deadline);
 */
const appendUntilSettled = async <S>(
  tools: Tools,
  replica: StreamReplica<S>,
  id: string,
  body: unknown,
  deadline: Deadline,
  undoOf: (id: string) => Envelope = cancelOf,
): Promise<Settlement> => {
  const folded = () => replica.verdict(id) !== undefined;
  const settled = (): Settlement => ({ id, kind: SETTLEMENT_OF_VERDICT[replica.verdict(id)!] });
  const appendBy = deadline.less(deadline.remainingMs() * SETTLING_SHARE);
  const payload = encodeEnvelope({ id, body });
  const mayBeWritten = await appendRepeatedly(tools, replica.stream, payload, appendBy, folded);
  if (!mayBeWritten) return { id, kind: SettlementKind.NotWritten };
  if (await replica.waitUntil(folded, appendBy)) return settled();
  const undo = undoOf(id);
  const undone = () => replica.verdict(undo.id) === RecordVerdict.Accepted;
  const decided = () => undone() || (undo.cancels !== undefined && folded());
  await appendRepeatedly(tools, replica.stream, encodeEnvelope(undo), deadline, decided);
  if (!(await replica.waitUntil(decided, deadline))) return { id, kind: SettlementKind.Unknown };
  return undone() ? { id, kind: SettlementKind.NotWritten } : settled();
};

export default appendUntilSettled;
