import type { Context } from 'koa';
import { errorAnswers, type ServeError } from '@wisteriapath/model';

const SECOND_MS = 1_000;

/**
 * Answers with the one error body that every failure has.
 *
 * @example
 * answerError(context, requestId, ServeError.notRun(ErrorKind.BadRequest, 'no body'));
 */
const answerError = (context: Context, requestId: string, error: ServeError): void => {
  const answer = errorAnswers[error.kind];
  const retryAfterMs = error.retryAfterMs ?? answer.retryAfterMs;
  const { kind, message, ran } = error;
  context.status = answer.status;
  context.body = { error: { kind, message, ran, retryAfterMs, requestId } };
  if (retryAfterMs !== null) {
    context.set('retry-after', String(Math.ceil(retryAfterMs / SECOND_MS)));
  }
};

export default answerError;
