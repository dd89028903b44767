import ErrorKind from './ErrorKind';
import ExecutionStatus from './ExecutionStatus';

/**
 * A refusal or failure that is reported to the caller.
 *
 * @example
 * Left(ServeError.notExecuted(ErrorKind.UnknownRoute, 'no route named "x"'));
 */
class ServeError {
  constructor(
    readonly kind: ErrorKind,
    readonly message: string,
    /** Whether the request may have been executed. */
    readonly ran: ExecutionStatus,
    /** Overrides the wait in `errorResponses`. */
    readonly retryAfterMs?: number,
  ) {}

  /** Creates an error for a request of which no byte can have reached a target. */
  static notExecuted(kind: ErrorKind, message: string, retryAfterMs?: number): ServeError {
    return new ServeError(kind, message, ExecutionStatus.NotExecuted, retryAfterMs);
  }

  /** Creates an error for a request that may have been executed. */
  static maybeExecuted(kind: ErrorKind, message: string): ServeError {
    return new ServeError(kind, message, ExecutionStatus.Unknown);
  }
}

export default ServeError;
