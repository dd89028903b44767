import AttemptOutcome from './AttemptOutcome';

const SERVER_ERROR = 500;
/** Outcomes that are failures of the target, whatever its status. */
const FAILURES: ReadonlySet<AttemptOutcome> = new Set([
  AttemptOutcome.Broken,
  AttemptOutcome.NotSent,
  AttemptOutcome.Stalled,
  AttemptOutcome.UnconfirmedRefusal,
]);

/**
 * Whether an attempt counts against its target, which is chosen less often then. `status` is 0 if no response arrived.
 *
 * @example
 * reservation.complete(isTargetFailure(AttemptOutcome.Answered, 500)); // true
 */
const isTargetFailure = (outcome: AttemptOutcome, status: number): boolean =>
  FAILURES.has(outcome) ||
  status >= SERVER_ERROR ||
  (outcome === AttemptOutcome.DeadlineExceeded && status === 0);

export default isTargetFailure;
