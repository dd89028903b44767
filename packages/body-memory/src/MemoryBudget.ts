import type GivenUpBody from './GivenUpBody';
import MemoryReservation from './MemoryReservation';

/** Part of the limit that bodies that gave way may hold until they are collected. */
const DROPPED_FRACTION = 0.25;

/**
 * The memory for the bodies that a process holds: requests of callers, answers of targets, and what callers have not read.
 * Where it is spent, the body that holds most gives way, so that many small ones pass beside one without end.
 *
 * @example
 * const reservation = budget.reserve();
 * reservation.onGiveWay = () => exchange.abort();
 * reservation.hold(chunk.length);
 */
class MemoryBudget {
  private readonly holders = new Set<MemoryReservation>();

  private sumBytes = 0;

  /** Bytes of bodies that gave way since the last collection. */
  private droppedBytes = 0;

  constructor(
    private readonly limitBytes: number,
    private readonly onGivenUp: (body: GivenUpBody) => void,
    /** Collects the memory of bodies that gave way. */
    private readonly collect: () => void = () => {},
  ) {}

  /** Bytes that all reservations hold. */
  get heldBytes(): number {
    return this.sumBytes;
  }

  /** Returns a reservation that holds nothing yet. */
  reserve(): MemoryReservation {
    return new MemoryReservation(this);
  }

  /** Takes note of a reservation that has changed, and makes the largest give way while too much is held. */
  balance(changed: MemoryReservation, addedBytes: number): void {
    this.sumBytes += addedBytes;
    if (changed.bytes === 0) this.holders.delete(changed);
    else this.holders.add(changed);
    while (this.sumBytes > this.limitBytes) {
      const largest = this.largestThatMayGiveWay();
      if (largest === undefined) return;
      this.end(largest);
    }
  }

  private end(holder: MemoryReservation): void {
    const { bytes } = holder;
    this.onGivenUp({ bytes, heldBytes: this.sumBytes, limitBytes: this.limitBytes });
    this.holders.delete(holder);
    this.sumBytes -= bytes;
    holder.giveWay();
    this.reclaim(bytes);
  }

  /** Collects what gave way once it is too much, as soon as its connections have let go of it. */
  private reclaim(bytes: number): void {
    const isScheduled = this.droppedBytes > this.limitBytes * DROPPED_FRACTION;
    this.droppedBytes += bytes;
    if (isScheduled || this.droppedBytes <= this.limitBytes * DROPPED_FRACTION) return;
    setImmediate(() => {
      this.droppedBytes = 0;
      this.collect();
    });
  }

  private largestThatMayGiveWay(): MemoryReservation | undefined {
    let largest: MemoryReservation | undefined;
    this.holders.forEach((holder) => {
      if (holder.onGiveWay !== null && holder.bytes > (largest?.bytes ?? 0)) largest = holder;
    });
    return largest;
  }
}

export default MemoryBudget;
