import { ByteAccumulator } from '@wisteriapath/byte-accumulator';
import EventBoundaries from './EventBoundaries';

const NOTHING = Buffer.alloc(0);
const ID_LINES = /^id: ?(.*)$/gm;

/** Splits an event stream at event boundaries and tracks the id of the last complete event. */
class EventFramer {
  private boundaries = new EventBoundaries();

  /** What has come of the event that is not complete yet. */
  private readonly pending = new ByteAccumulator();

  /** Id of the last complete event that had one. */
  lastEventId: string | null = null;

  /** Adds a chunk; returns the bytes up to the end of the last complete event and keeps the rest. */
  push(chunk: Buffer): Buffer {
    const end = this.boundaries.push(chunk);
    if (end === 0) {
      this.pending.append(chunk);
      return NOTHING;
    }
    const complete = this.complete(chunk.subarray(0, end));
    this.pending.append(chunk.subarray(end));
    this.recordIds(complete);
    return complete;
  }

  /** Bytes that are kept of an event that is not complete yet. */
  get partialBytes(): number {
    return this.pending.sizeBytes;
  }

  /** Memory that these bytes occupy. */
  get heldBytes(): number {
    return this.pending.heldBytes;
  }

  /** Whether part of an event has arrived and the rest is missing. */
  get hasPartialEvent(): boolean {
    return this.pending.sizeBytes > 0;
  }

  /** Whether an event has arrived completely since the last reset, that is from the newest target. */
  get hasEvent(): boolean {
    return this.boundaries.hasEvent;
  }

  /** Drops the partial event, before the stream is resumed at another target. */
  reset(): void {
    this.pending.clear();
    this.boundaries = new EventBoundaries();
  }

  /** Returns what was kept, followed by the end of the last complete event. */
  private complete(end: Buffer): Buffer {
    if (this.pending.sizeBytes === 0) return end;
    this.pending.append(end);
    return this.pending.take();
  }

  private recordIds(complete: Buffer): void {
    const ids = [...complete.toString('latin1').matchAll(ID_LINES)];
    this.lastEventId = ids.at(-1)?.[1] ?? this.lastEventId;
  }
}

export default EventFramer;
