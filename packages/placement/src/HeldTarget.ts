import type { Clock } from '@wisteriapath/model';
import type SlotLeaseRequest from './SlotLeaseRequest';
import type Slot from './Slot';
import TargetOutcome from './TargetOutcome';

interface Identity {
  readonly name: string;
  readonly url: string;
  readonly failureDomain: string;
}

/** Time within which a target notices that its caller has gone; its slot stays taken meanwhile. */
const CANCEL_SETTLE_MS = 250;

const noOutcomes = (): Record<TargetOutcome, number> => ({
  [TargetOutcome.Succeeded]: 0,
  [TargetOutcome.Failed]: 0,
  [TargetOutcome.Slow]: 0,
  [TargetOutcome.Cancelled]: 0,
});

/** One target on which a route holds slots. */
class HeldTarget {
  private slots = 0;

  private untilMs = 0;

  private occupied = 0;

  private outcomes = noOutcomes();

  constructor(
    readonly identity: Identity,
    private readonly clock: Clock,
  ) {}

  get inflight(): number {
    return this.occupied;
  }

  /** Slots that may be used now, in use or not. */
  get usableSlots(): number {
    return this.clock.nowMs() < this.untilMs ? this.slots : 0;
  }

  get hasFreeSlot(): boolean {
    return this.usableSlots > this.occupied;
  }

  /** True while a placer must hear of this target. */
  get isActive(): boolean {
    return this.slots > 0 || this.occupied > 0;
  }

  /** Share of the slots that is in use. */
  get load(): number {
    return this.occupied / Math.max(1, this.slots);
  }

  setGrant(slots: number, untilMs: number): void {
    this.slots = slots;
    this.untilMs = untilMs;
  }

  /** Gives up the slots that are not in use, so that a placer may lease them at once. */
  releaseFreeSlots(): void {
    this.slots = Math.min(this.slots, this.occupied);
  }

  /** What happened since the last call. */
  takeUsage(): SlotLeaseRequest['uses'][number] {
    const { succeeded, failed, slow } = this.outcomes;
    this.outcomes = noOutcomes();
    const { name: target } = this.identity;
    const { usableSlots: heldSlots, occupied: inflight } = this;
    return { target, heldSlots, inflight, succeeded, failed, slow };
  }

  /** Puts a request on the target; `onRelease` runs when its slot is free again. */
  takeSlot(candidates: Slot['candidates'], onRelease: () => void): Slot {
    this.occupied += 1;
    const { name: target, url, failureDomain } = this.identity;
    const leave = () => {
      this.occupied -= 1;
      onRelease();
    };
    return {
      target,
      url,
      failureDomain,
      candidates,
      cancel: leave,
      release: (outcome) => {
        this.outcomes[outcome] += 1;
        if (outcome !== TargetOutcome.Cancelled) leave();
        else void this.clock.sleep(CANCEL_SETTLE_MS).then(leave);
      },
    };
  }
}

export default HeldTarget;
