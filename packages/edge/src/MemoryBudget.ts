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

  constructor(
    private readonly limitBytes: number,
    private readonly log: EventLog,
  ) {}

  /** Bytes that all reservations hold. */
  get heldBytes(): number {
    let sum = 0;
    this.holders.forEach(({ bytes }) => {
      sum += bytes;
    });
    return sum;
  }

  /** Returns a reservation that holds nothing yet. */
  reserve(): MemoryReservation {
    return new MemoryReservation(this);
  }

  /** Takes note of a reservation that has changed, and makes the largest give way while too much is held. */
  balance(changed: MemoryReservation): void {
    if (changed.bytes === 0) {
      this.holders.delete(changed);
      return;
    }
    this.holders.add(changed);
    for (let held = this.heldBytes; held > this.limitBytes; held = this.heldBytes) {
      const largest = this.largestThatMayGiveWay();
      if (largest === undefined) return;
      this.log.event('memory_given_up', { bytes: largest.bytes, held, limit: this.limitBytes });
      this.holders.delete(largest);
      largest.giveWay();
    }
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
