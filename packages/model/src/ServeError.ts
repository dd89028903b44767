import ErrorKind from './ErrorKind';
import Ran from './Ran';

/**
 * A refusal or failure as it is told to a caller.
 *
 * @example
 * Left(ServeError.notRun(ErrorKind.UnknownRoute, 'no route named "x"'));
 */
class ServeError {
  constructor(
    readonly kind: ErrorKind,
    readonly message: string,
    readonly ran: Ran,
    /** Overrides the advice of `errorAnswers`. */
    readonly retryAfterMs?: number,
  ) {}

  /** An error of a request of which no byte can have reached a target. */
  static notRun(kind: ErrorKind, message: string, retryAfterMs?: number): ServeError {
    return new ServeError(kind, message, Ran.No, retryAfterMs);
  }

  /** An error of a request that may have run. */
  static maybeRun(kind: ErrorKind, message: string): ServeError {
    return new ServeError(kind, message, Ran.Unknown);
  }
}

export default ServeError;
