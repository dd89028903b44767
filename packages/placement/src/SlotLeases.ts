import type { Clock } from '@wisteriapath/model';
import type TargetLeaseRequest from './TargetLeaseRequest';
import type WorkspaceDemand from './WorkspaceDemand';
import fairShares from './fairShares';

/** Longest time for which slots of a vanished holder are kept back. */
const VANISHED_LIMIT_MS = 30_000;

interface Lease {
  /** The most that the holder may be using until the term ends. */
  taken: number;
  untilMs: number;
  readonly assetIds: readonly string[];
}

interface Demand {
  readonly demand: readonly WorkspaceDemand[];
  readonly askedMs: number;
}

/** The slots of one target: leased for a term, never more than its window in all. */
class SlotLeases {
  private readonly leases = new Map<string, Lease>();

  /** Holders that were refused, longest wait first, with the time of their last ask. */
  private readonly refused = new Map<string, number>();

  /** What holders could use, with the time of their last ask. */
  private readonly demands = new Map<string, Demand>();

  /** Fractions of a slot that holders are still due. */
  private readonly dues = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly termMs: number,
  ) {}

  /** Slots that are leased or in use. */
  taken(): number {
    return this.takenByOthers('');
  }

  /** Whether a holder may be using the asset on this target. */
  isInUse(assetId: string): boolean {
    return [...this.leases.values()].some((lease) => lease.assetIds.includes(assetId));
  }

  /** Renews a holder's lease; answers with the slots it may use until the term ends. */
  grant(ask: TargetLeaseRequest, window: number): number {
    this.forgetOldAsks();
    this.demands.set(ask.holder, { demand: ask.demand, askedMs: this.clock.nowMs() });
    const { holder, wantSlots: want, inflight, heldSlots, assetIds } = ask;
    const free = Math.max(0, window - this.takenByOthers(holder));
    const slots = Math.min(want, free, this.share(holder, window));
    // The holder may go on using what it held until it has this answer.
    const taken = Math.max(slots, heldSlots, inflight);
    const untilMs = this.clock.nowMs() + this.termMs;
    if (taken === 0) this.leases.delete(holder);
    else this.leases.set(holder, { taken, untilMs, assetIds });
    this.noteRefusal(holder, slots < Math.min(want, 1));
    return slots;
  }

  /** Drops lapsed leases of which the target's own report shows nothing any more. */
  reconcile(reportedInflight: number): void {
    const nowMs = this.clock.nowMs();
    this.leases.forEach((lease, holder) => {
      const lapsedMs = nowMs - lease.untilMs;
      const gone = reportedInflight === 0 || lapsedMs > VANISHED_LIMIT_MS;
      if (lapsedMs >= 0 && gone) this.leases.delete(holder);
    });
  }

  private noteRefusal(holder: string, isRefused: boolean): void {
    if (isRefused) this.refused.set(holder, this.clock.nowMs());
    else this.refused.delete(holder);
  }

  private takenByOthers(holder: string): number {
    const others = [...this.leases].filter(([other]) => other !== holder);
    return others.reduce((sum, [, lease]) => sum + lease.taken, 0);
  }

  /** The most that a holder may have: no limit while there is enough for everybody. */
  private share(holder: string, window: number): number {
    const isOtherRefused = [...this.refused.keys()].some((other) => other !== holder);
    if (!isOtherRefused && this.demanded() <= window) return window;
    const demands = new Map([...this.demands].map(([other, { demand }]) => [other, demand]));
    const due = (fairShares(window, demands).get(holder) ?? 0) + (this.dues.get(holder) ?? 0);
    const share = Math.floor(due);
    this.dues.set(holder, due - share);
    if (share >= 1) return share;
    const [first] = this.refused.keys();
    return first === holder ? 1 : 0;
  }

  private demanded(): number {
    const all = [...this.demands.values()].flatMap(({ demand }) => demand);
    return all.reduce((sum, { slots }) => sum + slots, 0);
  }

  private forgetOldAsks(): void {
    const oldestMs = this.clock.nowMs() - this.termMs;
    this.refused.forEach((askedMs, holder) => {
      if (askedMs < oldestMs) this.refused.delete(holder);
    });
    this.demands.forEach(({ askedMs }, holder) => {
      if (askedMs >= oldestMs) return;
      this.demands.delete(holder);
      this.dues.delete(holder);
    });
  }
}

export default SlotLeases;
