import type { EventLog } from '@wisteriapath/fleet';
import MemoryReservation from './MemoryReservation';

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

  constructor(
    private readonly limitBytes: number,
    private readonly log: EventLog,
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
    this.log.event('memory_given_up', { bytes, held: this.sumBytes, limit: this.limitBytes });
    this.holders.delete(holder);
    this.sumBytes -= bytes;
    holder.giveWay();
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
