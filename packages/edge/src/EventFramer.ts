import EventBoundaries from './EventBoundaries';

const ID_LINES = /^id: ?(.*)$/gm;

/** Splits an event stream at event boundaries and tracks the id of the last complete event. */
class EventFramer {
  private boundaries = new EventBoundaries();

  /** The chunks of the event that is not complete yet. */
  private pending: Buffer[] = [];

  private pendingBytes = 0;

  /** Id of the last complete event that had one. */
  lastEventId: string | null = null;

  /** Adds a chunk; returns the bytes up to the end of the last complete event and keeps the rest. */
  push(chunk: Buffer): Buffer {
    const end = this.boundaries.push(chunk);
    if (end === 0) {
      if (chunk.length > 0) this.pending.push(chunk);
      this.pendingBytes += chunk.length;
      return Buffer.alloc(0);
    }
    const complete = Buffer.concat([...this.pending, chunk.subarray(0, end)]);
    this.pending = end < chunk.length ? [chunk.subarray(end)] : [];
    this.pendingBytes = chunk.length - end;
    this.recordIds(complete);
    return complete;
  }

  /** Bytes that are kept of an event that is not complete yet. */
  get partialBytes(): number {
    return this.pendingBytes;
  }

  /** Whether part of an event has arrived and the rest is missing. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Whether an event has arrived completely since the last reset, that is from the newest target. */
  get hasEvent(): boolean {
    return this.boundaries.hasEvent;
  }

  /** Drops the partial event, before the stream is resumed at another target. */
  reset(): void {
    this.pending = [];
    this.pendingBytes = 0;
    this.boundaries = new EventBoundaries();
  }

  private recordIds(complete: Buffer): void {
    const ids = [...complete.toString('latin1').matchAll(ID_LINES)];
    this.lastEventId = ids.at(-1)?.[1] ?? this.lastEventId;
  }
}

export default EventFramer;
