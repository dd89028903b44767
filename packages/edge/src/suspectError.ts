import { ErrorKind, ServeError } from '@wisteriapath/model';

/**
 * Returns the refusal of a request that shares with earlier ones what crashed targets.
 *
 * @example
 * Left(suspectError(8_000));
 */
const suspectError = (retryAfterMs: number): ServeError =>
  ServeError.notExecuted(
    ErrorKind.CrashSuspected,
    'targets crashed under requests that have a part in common with this one',
    retryAfterMs,
  );

export default suspectError;
