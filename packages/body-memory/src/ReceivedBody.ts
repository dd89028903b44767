import { ByteAccumulator } from '@wisteriapath/byte-accumulator';
import type MemoryReservation from './MemoryReservation';

/**
 * The body of one request as it arrives. What it holds and what the budget counts for it change together; whoever ends the request drops it,
 * whether the body was whole, refused, unreadable or cut short by its caller.
 *
 * @example
 * const body = new ReceivedBody(budget.reserve());
 * response.once('close', () => body.drop());
 */
class ReceivedBody {
  private readonly content = new ByteAccumulator();

  private isDropped = false;

  /** Called when the body is dropped, so that nobody waits for its end. */
  onDropped: (() => void) | null = null;

  constructor(private readonly reservation: MemoryReservation) {}

  /** Whether it had to give way to other bodies. */
  get hasGivenWay(): boolean {
    return this.reservation.hasGivenWay;
  }

  /** Calls back when the body has to give way to others; null while it must not. */
  set onGiveWay(callback: (() => void) | null) {
    this.reservation.onGiveWay = callback;
  }

  /** Adds a chunk, unless the body was dropped. */
  append(chunk: Buffer): void {
    if (this.isDropped) return;
    this.content.append(chunk);
    if (!this.reservation.hold(this.content.heldBytes)) this.drop();
  }

  /** Returns the content in one piece, which counts until the body is dropped. */
  take(): Buffer {
    const bytes = this.content.take();
    if (!this.isDropped) this.reservation.hold(bytes.length);
    return bytes;
  }

  /** Frees what is held. Nothing is kept from then on. */
  drop(): void {
    if (this.isDropped) return;
    this.isDropped = true;
    this.content.clear();
    this.reservation.release();
    this.onDropped?.();
  }
}

export default ReceivedBody;
