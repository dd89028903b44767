import type { Context } from 'koa';
import { type Either, Left, Right } from 'purify-ts';
import rawBody from 'raw-body';
import { ErrorKind, ServeError } from '@wisteriapath/model';

/**
 * Reads a request body. A body over `maxBytes` and one that breaks off are errors.
 *
 * @example
 * const body = await readBody(context, 1_048_576);
 */
const readBody = async (
  context: Context,
  maxBytes: number,
): Promise<Either<ServeError, Buffer>> => {
  try {
    return Right(await rawBody(context.req, { limit: maxBytes }));
  } catch (error) {
    const isTooLarge = (error as { type?: string }).type === 'entity.too.large';
    const kind = isTooLarge ? ErrorKind.BodyTooLarge : ErrorKind.BadRequest;
    const message = isTooLarge
      ? `the body is over ${maxBytes} bytes`
      : 'the request body ended early or could not be read';
    return Left(ServeError.notExecuted(kind, message));
  }
};

export default readBody;
