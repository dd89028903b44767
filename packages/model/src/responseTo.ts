import type ErrorResponse from './ErrorResponse';
import ExecutionStatus from './ExecutionStatus';
import HttpStatus from './HttpStatus';
import type ServeError from './ServeError';
import errorResponses from './errorResponses';

/** Statuses that callers take for a promise that their request has not run and never will. */
const PROMISES: ReadonlySet<HttpStatus> = new Set([
  HttpStatus.TooManyRequests,
  HttpStatus.Unavailable,
]);

/**
 * Returns the HTTP response to an error. A request that may have run gets no status that promises the opposite, whatever the kind of
 * its error.
 *
 * @example
 * const { status, retryAfterMs } = responseTo(error);
 */
const responseTo = ({ kind, ran, retryAfterMs }: ServeError): ErrorResponse => {
  const { status, retryAfterMs: defaultMs } = errorResponses[kind];
  const mayHaveRun = ran !== ExecutionStatus.NotExecuted;
  return {
    status: mayHaveRun && PROMISES.has(status) ? HttpStatus.BadGateway : status,
    retryAfterMs: retryAfterMs ?? defaultMs,
  };
};

export default responseTo;
