import type { CheckedCall } from '@wisteriapath/admission';
import type { Deadline, ServeError } from '@wisteriapath/model';
import type { Either } from 'purify-ts';

/** A request that this instance is serving. */
interface CallContext {
  readonly requestId: string;
  readonly call: CheckedCall;
  readonly deadline: Deadline;
  /** Weight of the caller's workspace. */
  readonly weight: number;
  /** Checks the key, the route and the pool against the current configuration. */
  recheck(): Either<ServeError, CheckedCall>;
}

export default CallContext;
