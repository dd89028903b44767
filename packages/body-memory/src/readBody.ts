import type { IncomingMessage } from 'node:http';
import type { ServeError } from '@wisteriapath/model';
import type { Either } from 'purify-ts';
import BodyReader from './BodyReader';
import type ReadOptions from './ReadOptions';

/**
 * Reads the complete body of a request; fails if it exceeds `limitBytes`, has to give way to other bodies, the caller
 * disconnects, or this instance stops before its end.
 *
 * @example
 * const bytes = await readBody(request, { limitBytes: 4_194_304, body, stopSignal, cut });
 */
const readBody = (
  request: IncomingMessage,
  options: ReadOptions,
): Promise<Either<ServeError, Buffer>> =>
  new Promise((settle) => {
    new BodyReader(request, options, settle).start();
  });

export default readBody;
