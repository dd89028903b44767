import type { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';

/** Bytes that are parsed first: a head of usual length, or 170 chunks of one byte. */
const MIN_SLICE_BYTES = 1_024;
const MAX_SLICE_BYTES = 16_384;
/** Time for a slice below which the next one is larger. */
const CHEAP_SLICE_MS = 0.1;

/**
 * What a connection has received and not parsed. Bytes that are read from a socket are parsed in small slices, as their cost depends on
 * what they hold: 64 kB are one chunk, or 10,000.
 *
 * @example
 * const input = new ConnectionInput(socket, (ready) => scheduler.add(ready));
 * if (input.isReady) input.parse(2);
 */
class ConnectionInput {
  /** Called after bytes have been parsed. */
  onParsed: (() => void) | null = null;

  private sliceBytes = MIN_SLICE_BYTES;

  private request: IncomingMessage | undefined;

  /** Whether Node.js waits for the caller to take its responses. */
  private isHeld = false;

  private isDetached = false;

  private isParsing = false;

  /** Time that the parsing has taken since the last request was complete. */
  spentMs = 0;

  /** Bytes that the scheduler counts for this connection. */
  countedBytes = 0;

  /** The connections among which this one waits for its turn. */
  queue: Set<ConnectionInput> | undefined;

  constructor(
    readonly socket: Socket,
    private readonly onReady: (input: ConnectionInput) => void,
  ) {
    // Read in turn and not as it comes: the parser's listener for data is called by `read`.
    socket.on('readable', this.tell);
    this.watchHold();
  }

  /** Bytes that were read and not parsed. */
  get unreadBytes(): number {
    return this.isDetached || this.socket.destroyed ? 0 : this.socket.readableLength;
  }

  /** Whether there are bytes that may be parsed. */
  get isReady(): boolean {
    return !this.isParsing && this.hasMore;
  }

  /** Takes note of a request whose body may follow. */
  begin(request: IncomingMessage): void {
    this.request = request;
    // What the request holds is taken just after this event.
    request.on('resume', () => setImmediate(this.tell));
    request.once('close', this.tell);
  }

  /** Takes note that a request is complete. */
  complete(): void {
    this.spentMs = 0;
  }

  /** Parses slices for about this time, or until there are no more. */
  parse(limitMs: number): void {
    const startedMs = performance.now();
    let endedMs = startedMs;
    this.isParsing = true;
    while (this.hasMore && endedMs - startedMs < limitMs) endedMs = this.parseSlice(endedMs);
    this.isParsing = false;
    this.onParsed?.();
    // Lets the socket tell of its end.
    if (!this.isDetached && this.socket.readableLength === 0) this.socket.read(0);
  }

  /** Leaves the bytes that follow to other listeners. */
  detach(): void {
    this.isDetached = true;
    this.socket.off('readable', this.tell);
  }

  private get hasMore(): boolean {
    return this.unreadBytes > 0 && !this.isHeld && !this.isBlocked;
  }

  /** Whether the body of the request is not being taken. */
  private get isBlocked(): boolean {
    const { request } = this;
    if (request === undefined || request.complete || request.destroyed) return false;
    return request.readableLength >= request.readableHighWaterMark;
  }

  /** Parses one slice; returns when it ended. */
  private parseSlice(startedMs: number): number {
    const { socket } = this;
    socket.read(Math.min(this.sliceBytes, socket.readableLength));
    const endedMs = performance.now();
    const tookMs = endedMs - startedMs;
    this.spentMs += tookMs;
    this.sliceBytes =
      tookMs < CHEAP_SLICE_MS ? Math.min(2 * this.sliceBytes, MAX_SLICE_BYTES) : MIN_SLICE_BYTES;
    return endedMs;
  }

  private readonly tell = (): void => {
    if (this.isDetached) return;
    // Without bytes, this lets the socket tell of its end.
    if (this.socket.readableLength === 0) this.socket.read();
    else this.onReady(this);
  };

  /** Node.js pauses the socket while too many responses wait, and its parser takes nothing then. */
  private watchHold(): void {
    const { socket } = this;
    socket.pause = () => {
      this.isHeld = true;
      return Socket.prototype.pause.call(socket);
    };
    socket.resume = () => {
      this.isHeld = false;
      this.tell();
      return Socket.prototype.resume.call(socket);
    };
  }
}

export default ConnectionInput;
