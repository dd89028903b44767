import type { IncomingMessage } from 'node:http';
import { reclaimReceived } from '@wisteriapath/byte-accumulator';
import { ErrorKind, ServeError } from '@wisteriapath/model';
import { type Either, Left, Right } from 'purify-ts';
import type ReadOptions from './ReadOptions';

type Result = Either<ServeError, Buffer>;

/** Reads the body of one request, and says once how that ended. */
class BodyReader {
  private sizeBytes = 0;

  private hasEnded = false;

  constructor(
    private readonly request: IncomingMessage,
    private readonly options: ReadOptions,
    private readonly settle: (result: Result) => void,
  ) {}

  /** Begins to read. */
  start(): void {
    const { request, options } = this;
    options.stopSignal?.addEventListener('abort', this.onStop);
    options.body.onGiveWay = () => this.refuseForOthers();
    options.body.onDropped = () => this.giveUp();
    request.on('data', (chunk: Buffer) => this.take(chunk));
    request.on('end', () => this.complete());
    request.on('error', () => this.giveUp());
    request.on('close', () => this.giveUp());
  }

  private readonly onStop = (): void => {
    const message = 'this instance stopped before the end of the body';
    this.refuse(ServeError.notExecuted(ErrorKind.Stopping, message, 0));
  };

  private take(chunk: Buffer): void {
    reclaimReceived(chunk.length);
    this.sizeBytes += chunk.length;
    if (this.sizeBytes > this.options.limitBytes) this.refuseTooLarge();
    // A body that has given way is read on, so that its caller can take the answer.
    else this.options.body.append(chunk);
  }

  private complete(): void {
    if (!this.hasEnded) this.end(Right(this.options.body.take()));
  }

  private giveUp(): void {
    const message = 'the caller disconnected before the end of the body';
    this.refuse(ServeError.notExecuted(ErrorKind.BadRequest, message));
  }

  private refuseForOthers(): void {
    const message = 'this instance holds too many bytes of requests and answers';
    this.refuse(ServeError.notExecuted(ErrorKind.MemoryExhausted, message));
  }

  private refuseTooLarge(): void {
    const { limitBytes, body, cut } = this.options;
    // The rest, which has no bound, is not read.
    if (body.hasGivenWay) cut();
    else this.request.pause();
    const message = `the body is longer than ${limitBytes} bytes`;
    this.refuse(ServeError.notExecuted(ErrorKind.BodyTooLarge, message));
  }

  private refuse(error: ServeError): void {
    if (this.hasEnded) return;
    this.end(Left(error));
    this.options.body.drop();
  }

  private end(result: Result): void {
    const { stopSignal, body } = this.options;
    this.hasEnded = true;
    stopSignal?.removeEventListener('abort', this.onStop);
    body.onGiveWay = null;
    this.settle(result);
  }
}

export default BodyReader;
