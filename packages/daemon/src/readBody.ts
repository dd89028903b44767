import type { Context } from 'koa';
import { type Either, Left, Right } from 'purify-ts';
import { ByteLimitError, readBytes } from '@wisteriapath/byte-accumulator';
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
    // What is announced as too long is not read.
    if ((context.request.length ?? 0) > maxBytes) throw new ByteLimitError(maxBytes);
    return Right(await readBytes(context.req, maxBytes));
  } catch (error) {
    const isTooLarge = error instanceof ByteLimitError;
    const kind = isTooLarge ? ErrorKind.BodyTooLarge : ErrorKind.BadRequest;
    const message = isTooLarge
      ? `the body is over ${maxBytes} bytes`
      : 'the request body ended early or could not be read';
    return Left(ServeError.notExecuted(kind, message));
  }
};

export default readBody;
