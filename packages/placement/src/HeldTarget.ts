import type { Clock } from '@wisteriapath/model';
import type SlotLeaseRequest from './SlotLeaseRequest';
import type Slot from './Slot';
import TargetOutcome from './TargetOutcome';

interface Identity {
  readonly name: string;
  readonly url: string;
  readonly failureDomain: string;
}

/**
 * Time within which a target notices a disconnected caller. A cancelled request keeps its slot
 * until then.
 */
const CANCEL_DETECTION_MS = 250;

const noOutcomes = (): Record<TargetOutcome, number> => ({
  [TargetOutcome.Succeeded]: 0,
  [TargetOutcome.Failed]: 0,
  [TargetOutcome.Slow]: 0,
  [TargetOutcome.Cancelled]: 0,
});

/** A target on which the route of a `RouteQueue` holds slots. */
class HeldTarget {
  private slots = 0;

  private expiresAtMs = 0;

  private inflightCount = 0;

  private outcomes = noOutcomes();

  constructor(
    readonly identity: Identity,
    private readonly clock: Clock,
  ) {}

  get inflight(): number {
    return this.inflightCount;
  }

  /** Slots of an unexpired grant, in use or not. */
  get usableSlots(): number {
    return this.clock.nowMs() < this.expiresAtMs ? this.slots : 0;
  }

  get hasFreeSlot(): boolean {
    return this.usableSlots > this.inflightCount;
  }

  /**
   * Whether the target still holds slots or runs requests, so that its placer needs reports of it.
   */
  get isActive(): boolean {
    return this.slots > 0 || this.inflightCount > 0;
  }

  /** Fraction of the granted slots that is in use. */
  get load(): number {
    return this.inflightCount / Math.max(1, this.slots);
  }

  /** Replaces the grant; `expiresAtMs` is monotonic time. */
  setGrant(slots: number, expiresAtMs: number): void {
    this.slots = slots;
    this.expiresAtMs = expiresAtMs;
  }

  /**
   * Gives up the slots that are not in use, so that the placer may lease them to others at once.
   */
  releaseFreeSlots(): void {
    this.slots = Math.min(this.slots, this.inflightCount);
  }

  /** Returns the use of the target since the previous call, and resets its counters. */
  takeUsage(): SlotLeaseRequest['uses'][number] {
    const { succeeded, failed, slow } = this.outcomes;
    this.outcomes = noOutcomes();
    const { name: target } = this.identity;
    const { usableSlots: heldSlots, inflightCount: inflight } = this;
    return { target, heldSlots, inflight, succeeded, failed, slow };
  }

  /** Takes a slot for a request; `onRelease` runs when the slot is free again. */
  takeSlot(candidates: Slot['candidates'], onRelease: () => void): Slot {
    this.inflightCount += 1;
    const { name: target, url, failureDomain } = this.identity;
    const freeSlot = () => {
      this.inflightCount -= 1;
      onRelease();
    };
    return {
      target,
      url,
      failureDomain,
      candidates,
      cancel: freeSlot,
      release: (outcome) => {
        this.outcomes[outcome] += 1;
        if (outcome !== TargetOutcome.Cancelled) freeSlot();
        else void this.clock.sleep(CANCEL_DETECTION_MS).then(freeSlot);
      },
    };
  }
}

export default HeldTarget;
