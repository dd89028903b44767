const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/**
 * Finds where events end in an event stream, no matter how its bytes are split into chunks. Lines end with LF, CR or CRLF;
 * an empty line ends an event.
 */
class EventBoundaries {
  private isLineEmpty = false;

  private isAfterCarriageReturn = false;

  /** Whether a line of the current event is no comment. */
  private hasField = false;

  private bytesInEvent = 0;

  private count = 0;

  /** Takes the next chunk; returns the offset at which the last complete event ends in it, 0 if none does. */
  push(chunk: Uint8Array): number {
    let end = 0;
    for (let offset = 0; offset < chunk.length; offset += 1) {
      if (this.takeByte(chunk[offset])) end = offset + 1;
    }
    return end;
  }

  /** Whether bytes of an event have arrived and its end has not. */
  get isInsideEvent(): boolean {
    return this.bytesInEvent > 0;
  }

  /** Bytes that have arrived of an event whose end has not. */
  get partialBytes(): number {
    return this.bytesInEvent;
  }

  /** Whether an event has arrived completely; comments do not count. */
  get hasEvent(): boolean {
    return this.count > 0;
  }

  /** Takes one byte; returns whether the stream is between two events after it. */
  private takeByte(byte: number): boolean {
    const endsPair = byte === LINE_FEED && this.isAfterCarriageReturn;
    this.isAfterCarriageReturn = byte === CARRIAGE_RETURN;
    if (endsPair) {
      if (this.bytesInEvent > 0) this.bytesInEvent += 1;
      return this.bytesInEvent === 0;
    }
    this.bytesInEvent += 1;
    if (byte === LINE_FEED || byte === CARRIAGE_RETURN) return this.endLine();
    if (byte !== COLON && (this.isLineEmpty || this.bytesInEvent === 1)) this.hasField = true;
    this.isLineEmpty = false;
    return false;
  }

  private endLine(): boolean {
    if (!this.isLineEmpty) {
      this.isLineEmpty = true;
      return false;
    }
    if (this.hasField) this.count += 1;
    this.hasField = false;
    this.bytesInEvent = 0;
    return true;
  }
}

export default EventBoundaries;
