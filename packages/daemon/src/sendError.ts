import type { Context } from 'koa';
import { errorAnswers, type ServeError } from '@wisteriapath/model';

const SECOND_MS = 1_000;

/**
 * Answers with the one error body that every failure has.
 *
 * @example
 * sendError(context, requestId, ServeError.notRun(ErrorKind.BadRequest, 'no body'));
 */
const sendError = (context: Context, requestId: string, error: ServeError): void => {
  const response = errorAnswers[error.kind];
  const retryAfterMs = error.retryAfterMs ?? response.retryAfterMs;
  const { kind, message, ran } = error;
  context.status = response.status;
  context.body = { error: { kind, message, ran, retryAfterMs, requestId } };
  if (retryAfterMs !== null) {
    context.set('retry-after', String(Math.ceil(retryAfterMs / SECOND_MS)));
  }
};

export default sendError;
