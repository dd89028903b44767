import type { IncomingMessage } from 'node:http';
import { type Either, Left, Right } from 'purify-ts';
import { ErrorKind, ServeError } from '@wisteriapath/model';

/**
 * Reads the complete body of a request; fails if it exceeds `limitBytes`, the caller disconnects, or this instance stops
 * before its end.
 *
 * @example
 * const body = await readBody(request, 4_194_304, stopSignal);
 */
const readBody = (
  request: IncomingMessage,
  limitBytes: number,
  stopSignal: AbortSignal,
): Promise<Either<ServeError, Buffer>> =>
  new Promise((settle) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const onStop = () => {
      const message = 'this instance stopped before the end of the body';
      settle(Left(ServeError.notExecuted(ErrorKind.Stopping, message)));
    };
    stopSignal.addEventListener('abort', onStop);
    const resolve = (result: Either<ServeError, Buffer>) => {
      stopSignal.removeEventListener('abort', onStop);
      settle(result);
    };
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
