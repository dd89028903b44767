import type { Context } from 'koa';
import { type Either, Left } from 'purify-ts';
import {
  type MemoryBudget,
  readBody as readRequestBody,
  ReceivedBody,
} from '@wisteriapath/body-memory';
import { ErrorKind, ServeError } from '@wisteriapath/model';
import { CallerServer, EndReason } from '@wisteriapath/response-ends';

interface Options {
  readonly maxBytes: number;
  /** Memory for the bodies of all requests. */
  readonly memory: MemoryBudget;
}

/**
 * Reads a request body, whose memory counts until the response has closed. A body over `maxBytes`, one that has to give way to others
 * and one that breaks off are errors; the response is then the last one of its connection.
 *
 * @example
 * const body = await readBody(context, { maxBytes: 1_048_576, memory });
 */
const readBody = async (
  context: Context,
  { maxBytes, memory }: Options,
): Promise<Either<ServeError, Buffer>> => {
  const { req, res } = context;
  // What is announced as too long is not read.
  if ((context.request.length ?? 0) > maxBytes) {
    context.set('connection', 'close');
    const message = `the body is over ${maxBytes} bytes`;
    return Left(ServeError.notExecuted(ErrorKind.BodyTooLarge, message));
  }
  const body = new ReceivedBody(memory.reserve());
  res.once('close', () => body.drop());
  const cut = () => {
    CallerServer.of(req)?.noteEnd(req, EndReason.BodyUnfinished);
    res.destroy();
  };
  const read = await readRequestBody(req, { limitBytes: maxBytes, body, cut });
  // The rest of the body is discarded, and has no bound otherwise.
  if (read.isLeft() && !res.headersSent) context.set('connection', 'close');
  return read;
};

export default readBody;
