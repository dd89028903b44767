import type { IncomingMessage } from 'node:http';
import { type Either, Left, Right } from 'purify-ts';
import { ByteAccumulator, reclaimReceived } from '@wisteriapath/byte-accumulator';
import { ErrorKind, ServeError } from '@wisteriapath/model';
import type MemoryReservation from './MemoryReservation';

interface Options {
  readonly limitBytes: number;
  /** Holds the bytes of the body, which may have to give way until all of them have arrived. */
  readonly memory: MemoryReservation;
  /** Aborts when a body that has not arrived is too late. */
  readonly stopSignal: AbortSignal;
  /** Closes the connection of a caller who sends on without end after the body was refused. */
  readonly cut: () => void;
}

/**
 * Reads the complete body of a request; fails if it exceeds `limitBytes`, has to give way to other bodies, the caller
 * disconnects, or this instance stops before its end.
 *
 * @example
 * const body = await readBody(request, { limitBytes: 4_194_304, memory, stopSignal, cut });
 */
const readBody = (
  request: IncomingMessage,
  { limitBytes, memory, stopSignal, cut }: Options,
): Promise<Either<ServeError, Buffer>> =>
  new Promise((settle) => {
    const content = new ByteAccumulator();
    let size = 0;
    let isRefused = false;
    /** Keeps nothing of the body from now on. */
    const drop = () => {
      isRefused = true;
      content.clear();
    };
    const onStop = () => {
      const message = 'this instance stopped before the end of the body';
      drop();
      settle(Left(ServeError.notExecuted(ErrorKind.Stopping, message, 0)));
    };
    stopSignal.addEventListener('abort', onStop);
    const reservation = memory;
    const resolve = (result: Either<ServeError, Buffer>) => {
      stopSignal.removeEventListener('abort', onStop);
      reservation.onGiveWay = null;
      settle(result);
    };
    const refuse = (kind: ErrorKind, message: string) => {
      drop();
      resolve(Left(ServeError.notExecuted(kind, message)));
    };
    const refuseTooLarge = () => {
      // Its rest, which has no bound, is not read.
      if (memory.hasGivenWay) cut();
      else request.pause();
      refuse(ErrorKind.BodyTooLarge, `the body is longer than ${limitBytes} bytes`);
    };
    reservation.onGiveWay = () => {
      refuse(
        ErrorKind.MemoryExhausted,
        'this instance holds too many bytes of requests and answers',
      );
    };
    request.on('data', (chunk: Buffer) => {
      reclaimReceived(chunk.length);
      size += chunk.length;
      if (size > limitBytes) refuseTooLarge();
      // A body that has given way is read on, so that its caller can take the answer.
      else if (!isRefused) {
        content.append(chunk);
        memory.hold(content.heldBytes);
      }
    });
    request.on('end', () => {
      if (isRefused) return;
      const body = content.take();
      memory.hold(body.length);
      resolve(Right(body));
    });
    const onDisconnect = () => {
      const message = 'the caller disconnected before the end of the body';
      drop();
      resolve(Left(ServeError.notExecuted(ErrorKind.BadRequest, message)));
    };
    request.on('error', onDisconnect);
    request.on('close', onDisconnect);
  });

export default readBody;
