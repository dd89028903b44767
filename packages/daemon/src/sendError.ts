import type { Context } from 'koa';
import { responseTo, type ServeError } from '@wisteriapath/model';

const SECOND_MS = 1_000;

/**
 * Sends an error response: the status of the error, the body format that all errors have, and
 * `retry-after` if the caller may retry.
 *
 * @example
 * sendError(context, requestId, ServeError.notExecuted(ErrorKind.BadRequest, 'no body'));
 */
const sendError = (context: Context, requestId: string, error: ServeError): void => {
  const { status, retryAfterMs } = responseTo(error);
  const { kind, message, ran } = error;
  context.status = status;
  context.body = { error: { kind, message, ran, retryAfterMs, requestId } };
  if (retryAfterMs !== null) {
    context.set('retry-after', String(Math.ceil(retryAfterMs / SECOND_MS)));
  }
};

export default sendError;
