interface Budget {
  /** Called after a reservation has changed by a number of bytes; makes others, or it, give way. */
  balance(reservation: MemoryReservation, addedBytes: number): void;
}

/** The bytes that one body holds of the memory for all of them. */
class MemoryReservation {
  private heldBytes = 0;

  private isGivenUp = false;

  /** Ends what the bytes are held for, so that they are freed; null while that must not be ended. */
  onGiveWay: (() => void) | null = null;

  constructor(private readonly budget: Budget) {}

  get bytes(): number {
    return this.heldBytes;
  }

  /** Whether it had to give way to others. It holds nothing from then on. */
  get hasGivenWay(): boolean {
    return this.isGivenUp;
  }

  /** Holds this number of bytes from now on; returns false if it had to give way. */
  hold(bytes: number): boolean {
    if (this.isGivenUp) return false;
    const addedBytes = bytes - this.heldBytes;
    this.heldBytes = bytes;
    this.budget.balance(this, addedBytes);
    return !this.isGivenUp;
  }

  /** Frees its bytes; it may hold others later. */
  release(): void {
    this.hold(0);
  }

  /** Frees its bytes for others. Called by the budget. */
  giveWay(): void {
    this.isGivenUp = true;
    this.heldBytes = 0;
    this.onGiveWay?.();
  }
}

export default MemoryReservation;
