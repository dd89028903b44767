import ErrorKind from './ErrorKind';
import Ran from './Ran';

/**
 * A refusal or failure that is reported to the caller.
 *
 * @example
 * Left(ServeError.notRun(ErrorKind.UnknownRoute, 'no route named "x"'));
 */
class ServeError {
  constructor(
    readonly kind: ErrorKind,
    readonly message: string,
    /** Whether the request may have been executed. */
    readonly ran: Ran,
    /** Overrides the wait in `errorAnswers`. */
    readonly retryAfterMs?: number,
  ) {}

  /** Creates an error for a request of which no byte can have reached a target. */
  static notRun(kind: ErrorKind, message: string, retryAfterMs?: number): ServeError {
    return new ServeError(kind, message, Ran.No, retryAfterMs);
  }

  /** Creates an error for a request that may have been executed. */
  static maybeRun(kind: ErrorKind, message: string): ServeError {
    return new ServeError(kind, message, Ran.Unknown);
  }
}

export default ServeError;
