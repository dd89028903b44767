import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ReceivedBody } from '@wisteriapath/body-memory';
import { ByteAccumulator } from '@wisteriapath/byte-accumulator';
import { ErrorKind, responseTo, ServeError } from '@wisteriapath/model';
import { EndReason } from '@wisteriapath/response-ends';
import type Dialect from './Dialect';
import RequestStep from './RequestStep';
import mediaTypeOf from './mediaTypeOf';

/**
 * Time for a caller to send the rest of a body that was refused, so that it can take the refusal. A body of 4 MB takes 6.4 s at
 * 5 Mbit/s.
 */
const REFUSED_BODY_TIMEOUT_MS = 10_000;

const FAILED = ServeError.maybeExecuted(
  ErrorKind.TargetFailed,
  'this instance failed while it handled the request, which may have run',
);

/** What an exchange needs of the server of its connection. */
interface Connection {
  /** Whether the connection is closed after this response. */
  readonly shouldClose: () => boolean;
  /** Called before the connection is ended without a whole response. */
  readonly onEnd: (reason: EndReason, detail: string) => void;
}

/** One caller's request together with its response, which is started once and ended once. */
class CallerExchange {
  private readonly disconnected = new AbortController();

  /**
   * What is to be written once the connection has taken what was written before. Node.js keeps several Buffers and a callback for
   * each write that waits, so that events of a few bytes would take hundreds of times their size.
   */
  private readonly unwritten = new ByteAccumulator();

  private isWriting = false;

  /** Called once the caller can take more. */
  private onDrain: (() => void) | null = null;

  /** Whether the whole response has been handed over, be it not ended yet. */
  private isWhole = false;

  /** How far the request has come, as long as its response has not begun. */
  private progress = RequestStep.Receiving;

  private mediaType = '';

  /** Whether only the end of the connection shows the caller where the response ends. */
  private isCloseDelimited = false;

  constructor(
    readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly dialect: Dialect,
    private readonly connection: Connection,
    /** The body of the request, which is held until the exchange has ended. */
    readonly body: ReceivedBody,
  ) {
    response.on('close', () => {
      this.body.drop();
      if (!response.writableFinished) this.disconnected.abort();
    });
  }

  /** Aborts when the caller disconnects before the response is complete. */
  get disconnectSignal(): AbortSignal {
    return this.disconnected.signal;
  }

  /** Whether the headers of the response have been sent. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** How far the request has come. */
  get step(): RequestStep {
    return this.hasStarted ? RequestStep.Answering : this.progress;
  }

  /** Takes note of how far the request has come. */
  reach(step: RequestStep): void {
    this.progress = step;
  }

  /** Media type of the response as it was started; empty if it had none. */
  get startedMediaType(): string {
    return this.mediaType;
  }

  /** Memory for bytes that the caller has not taken yet. */
  get unsentBytes(): number {
    return this.response.writableLength + this.unwritten.heldBytes;
  }

  /** Sends status and headers. Without a length, the body is sent in chunks, which callers of HTTP/1.0 cannot read. */
  start(status: number, headers: Readonly<Record<string, string | string[]>>): void {
    const { httpVersionMajor, httpVersionMinor } = this.request;
    const readsChunks = httpVersionMajor > 1 || httpVersionMinor > 0;
    this.isCloseDelimited = !readsChunks && headers['content-length'] === undefined;
    if (this.connection.shouldClose()) this.response.shouldKeepAlive = false;
    this.mediaType = mediaTypeOf(headers['content-type']);
    this.response.writeHead(status, headers);
  }

  /** Writes a part of the body; returns false if the caller cannot take more before `onDrain` is called. */
  write(bytes: Buffer, onDrain: () => void): boolean {
    if (bytes.length === 0) return true;
    if (this.isWriting) this.unwritten.append(bytes);
    else this.writeOut(bytes);
    if (this.unsentBytes < this.response.writableHighWaterMark) return true;
    this.onDrain = onDrain;
    return false;
  }

  /** Completes the response with the rest of its body, whose memory is free once it has been sent. */
  end(rest = new ByteAccumulator()): void {
    this.isWhole = true;
    this.response.cork();
    if (this.unwritten.sizeBytes > 0) this.response.write(this.unwritten.take());
    rest.pieces.forEach((piece) => this.response.write(piece));
    this.response.end();
    this.onClosed(() => rest.clear());
  }

  /** Calls back once the caller has taken the whole response, or its connection has ended. */
  onClosed(callback: () => void): void {
    if (this.response.closed || this.disconnectSignal.aborted) callback();
    else this.response.once('close', callback);
  }

  /** Breaks the response off, so that it does not look complete: with a reset if only its connection would end it. */
  abort(reason: EndReason, detail = ''): void {
    const { socket } = this.response;
    this.connection.onEnd(reason, detail);
    if (this.isCloseDelimited && socket !== null) socket.resetAndDestroy();
    else this.response.destroy();
  }

  /** Responds with an error of this system; if the response has started, aborts it. */
  sendError(error: ServeError, attemptId: string): void {
    // The server answers by itself what it cannot read.
    if (this.disconnectSignal.aborted || this.response.writableEnded) return;
    if (this.hasStarted) {
      this.abort(EndReason.AnswerBroken, error.message);
      return;
    }
    const { status, retryAfterMs: waitMs } = responseTo(error);
    const body = Buffer.from(JSON.stringify({ error: error.kind, message: error.message }));
    const retry: Record<string, string> =
      waitMs === null ? {} : { 'retry-after': (waitMs / 1_000).toFixed(2) };
    // On a kept-alive connection, the unread rest of the body would be parsed as the next request.
    const isReadOn = this.request.complete || this.request.readableFlowing === true;
    if (!isReadOn) this.response.shouldKeepAlive = false;
    const headers = {
      ...this.dialect.errorHeaders(attemptId),
      'content-type': 'application/json',
      'content-length': String(body.length),
      ...retry,
    };
    this.start(status, headers);
    this.isWhole = true;
    if (isReadOn && !this.request.complete) this.endOnceRead(body);
    else this.response.end(body);
  }

  /** Ends a request whose handling has failed. What it was at is not known, so it may have run; a whole response stays. */
  fail(message: string, attemptId: string): void {
    if (this.isWhole || this.response.writableEnded) return;
    if (this.hasStarted) this.abort(EndReason.HandlerFailed, message);
    else this.sendError(FAILED, attemptId);
  }

  private writeOut(bytes: Buffer): void {
    this.isWriting = true;
    this.response.write(bytes, () => this.onWritten());
  }

  private onWritten(): void {
    this.isWriting = false;
    if (this.response.destroyed || this.response.writableEnded) return;
    if (this.unwritten.sizeBytes > 0) this.writeOut(this.unwritten.take());
    if (this.unsentBytes >= this.response.writableHighWaterMark) return;
    const { onDrain } = this;
    this.onDrain = null;
    onDrain?.();
  }

  /** Sends the whole body, and ends the exchange once the request has been read: a close before would reset the connection. */
  private endOnceRead(body: Buffer): void {
    this.response.write(body);
    const cut = () => this.abort(EndReason.BodyUnfinished);
    const timer = setTimeout(cut, REFUSED_BODY_TIMEOUT_MS);
    this.request.once('end', () => this.response.end());
    this.response.once('close', () => clearTimeout(timer));
  }
}

export default CallerExchange;
