import type { Clock } from '@wisteriapath/model';
import EventCounter from './EventCounter';

/**
 * Time over which gaps are measured together: several gaps at the usual speed, so that the delay of one chunk counts little, and less
 * than a slow span of some 600 ms.
 */
const SAMPLE_MS = 180;
const MIN_GAPS_AT_END = 2;

/** Measures the time between the events of one stream, as far as the target determines it. */
class EventGaps {
  private readonly counter = new EventCounter();

  private lastEventAtMs: number | undefined;

  private gaps = 0;

  private totalMs = 0;

  private isHeldUp = false;

  /** The longest time between two events that was measured. */
  longestMs = 0;

  constructor(
    private readonly clock: Clock,
    /** Receives the mean of several successive gaps. */
    private readonly onSample: (gapMs: number) => void,
  ) {}

  /**
   * Takes a chunk that was passed on, and whether the caller takes more at once. Events that arrive in one chunk share
   * the time before it. After the caller held up the target, the rest of the stream is not measured, because the events
   * that were queued in between arrive in bursts.
   */
  push(chunk: Buffer, mayContinue: boolean): void {
    if (this.isHeldUp) return;
    const events = this.counter.push(chunk);
    if (events > 0) this.addEvents(events);
    this.isHeldUp = !mayContinue;
  }

  /** Ends the measurement with the gaps since the last sample: a short stream of a fast target has no other. */
  end(): void {
    if (this.gaps >= MIN_GAPS_AT_END) this.emit();
    this.gaps = 0;
    this.isHeldUp = true;
  }

  private addEvents(events: number): void {
    const nowMs = this.clock.nowMs();
    const sinceMs = this.lastEventAtMs;
    this.lastEventAtMs = nowMs;
    if (sinceMs === undefined) return;
    this.longestMs = Math.max(this.longestMs, nowMs - sinceMs);
    this.gaps += events;
    this.totalMs += nowMs - sinceMs;
    if (this.totalMs >= SAMPLE_MS) this.emit();
  }

  private emit(): void {
    this.onSample(this.totalMs / this.gaps);
    this.gaps = 0;
    this.totalMs = 0;
  }
}

export default EventGaps;
