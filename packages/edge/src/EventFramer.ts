const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(.*)$/m;

const NEWLINE = 0x0a;

/** Splits an event stream at event boundaries and tracks the id of the last complete event. */
class EventFramer {
  /** The chunks of the event that is not complete yet. */
  private pending: Buffer[] = [];

  /** Id of the last complete event that had one. */
  lastEventId: string | null = null;

  /** Adds a chunk; returns the bytes up to the end of the last complete event and keeps the rest. */
  push(chunk: Buffer): Buffer {
    const end = this.endOfEvents(chunk);
    if (end === 0) {
      if (chunk.length > 0) this.pending.push(chunk);
      return Buffer.alloc(0);
    }
    const complete = Buffer.concat([...this.pending, chunk.subarray(0, end)]);
    this.pending = end < chunk.length ? [chunk.subarray(end)] : [];
    this.recordIds(complete);
    return complete;
  }

  /** Returns the offset at which the last complete event ends in a chunk; 0 if none ends in it. */
  private endOfEvents(chunk: Buffer): number {
    const end = chunk.lastIndexOf(EVENT_END);
    if (end >= 0) return end + EVENT_END.length;
    // The blank line may be split between two chunks.
    return chunk[0] === NEWLINE && this.pending.at(-1)?.at(-1) === NEWLINE ? 1 : 0;
  }

  /** Whether part of an event has arrived and the rest is missing. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Drops the partial event, before the stream is resumed at another target. */
  reset(): void {
    this.pending = [];
  }

  private recordIds(complete: Buffer): void {
    const events = complete.toString('latin1').split('\n\n');
    const ids = events.map((event) => ID_LINE.exec(event)?.[1]).filter((id) => id !== undefined);
    this.lastEventId = ids.at(-1) ?? this.lastEventId;
  }
}

export default EventFramer;
