import { ErrorKind, ServeError } from '@wisteriapath/model';
import AttemptOutcome from './AttemptOutcome';

/**
 * The errors with which a request ends after an attempt, where no further one may follow; absent for outcomes after which one may.
 *
 * @example
 * finalErrors[AttemptOutcome.Stopped]?.kind; // ErrorKind.TargetFailed
 */
const finalErrors: Readonly<Partial<Record<AttemptOutcome, ServeError>>> = {
  [AttemptOutcome.DeadlineExceeded]: ServeError.maybeExecuted(
    ErrorKind.DeadlineExpired,
    'the deadline passed while a target was running the request',
  ),
  [AttemptOutcome.Stopped]: ServeError.maybeExecuted(
    ErrorKind.TargetFailed,
    'this instance had to stop before the target had answered',
  ),
};

export default finalErrors;
