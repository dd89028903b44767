import type { IncomingMessage } from 'node:http';
import { type Either, Left, Right } from 'purify-ts';
import { ErrorKind, ServeError } from '@wisteriapath/model';

/**
 * Reads the complete body of a request; fails if it exceeds `limitBytes` or the caller disconnects.
 *
 * @example
 * const body = await readBody(request, 4_194_304);
 */
const readBody = (
  request: IncomingMessage,
  limitBytes: number,
): Promise<Either<ServeError, Buffer>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limitBytes) {
        chunks.push(chunk);
        return;
      }
      request.pause();
      const message = `the body is longer than ${limitBytes} bytes`;
      resolve(Left(ServeError.notExecuted(ErrorKind.BodyTooLarge, message)));
    });
    request.on('end', () => resolve(Right(Buffer.concat(chunks))));
    const onDisconnect = () => {
      const message = 'the caller disconnected before the end of the body';
      resolve(Left(ServeError.notExecuted(ErrorKind.BadRequest, message)));
    };
    request.on('error', onDisconnect);
    request.on('close', onDisconnect);
  });

export default readBody;
