const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(.*)$/m;

const NEWLINE = 0x0a;

/** Cuts an event stream into whole events and knows the id of the last one. */
class EventFramer {
  /** The bytes of an event that is not whole yet. */
  private rest: Buffer[] = [];

  lastId: string | null = null;

  /** The bytes up to the end of the last whole event; the remainder waits. */
  push(chunk: Buffer): Buffer {
    const end = this.endOfEvents(chunk);
    if (end === 0) {
      if (chunk.length > 0) this.rest.push(chunk);
      return Buffer.alloc(0);
    }
    const whole = Buffer.concat([...this.rest, chunk.subarray(0, end)]);
    this.rest = end < chunk.length ? [chunk.subarray(end)] : [];
    this.noteIds(whole);
    return whole;
  }

  /** Where the last whole event ends in a chunk; 0 if none does. */
  private endOfEvents(chunk: Buffer): number {
    const end = chunk.lastIndexOf(EVENT_END);
    if (end >= 0) return end + EVENT_END.length;
    // The blank line may be cut in two.
    return chunk[0] === NEWLINE && this.rest.at(-1)?.at(-1) === NEWLINE ? 1 : 0;
  }

  /** Whether an event has begun that is not whole. */
  get isMidEvent(): boolean {
    return this.rest.length > 0;
  }

  /** Drops what has begun, before the stream goes on elsewhere. */
  reset(): void {
    this.rest = [];
  }

  private noteIds(whole: Buffer): void {
    const events = whole.toString('latin1').split('\n\n');
    const ids = events.map((event) => ID_LINE.exec(event)?.[1]).filter((id) => id !== undefined);
    this.lastId = ids.at(-1) ?? this.lastId;
  }
}

export default EventFramer;
