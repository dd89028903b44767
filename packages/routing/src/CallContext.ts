import type { CheckedCall } from '@wisteriapath/admission';
import type { Deadline, ServeError } from '@wisteriapath/model';
import type { Either } from 'purify-ts';

/** One request on its way through this instance. */
interface CallContext {
  readonly requestId: string;
  readonly call: CheckedCall;
  readonly deadline: Deadline;
  /** Weight of the caller's workspace. */
  readonly weight: number;
  /** Checks key, route and pool against the configuration as it now is. */
  recheck(): Either<ServeError, CheckedCall>;
}

export default CallContext;
