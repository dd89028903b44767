import type { Clock } from '@wisteriapath/model';
import type TargetLeaseRequest from './TargetLeaseRequest';
import type WorkspaceDemand from './WorkspaceDemand';
import fairShares from './fairShares';

/**
 * Time after its expiry at which a lease is dropped even if the target reports requests in flight.
 */
const VANISHED_HOLDER_TIMEOUT_MS = 30_000;

interface Lease {
  /** Upper bound of the slots that the holder may be using until the term ends. */
  maxInUse: number;
  expiresAtMs: number;
  readonly assetIds: readonly string[];
}

interface Demand {
  readonly demand: readonly WorkspaceDemand[];
  readonly requestedAtMs: number;
}

/**
 * The slot leases of one target. Leases slots for a term, and never more in all than the window.
 */
class SlotLeases {
  private readonly leases = new Map<string, Lease>();

  /** Holders that were refused, longest wait first, with the time of their latest request. */
  private readonly refused = new Map<string, number>();

  /** Demand of each holder, with the time of its latest request. */
  private readonly demands = new Map<string, Demand>();

  /** Fractions of a slot that are carried over to each holder's next grant. */
  private readonly fractionalSlots = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly termMs: number,
  ) {}

  /** Returns the number of slots that are leased or in use. */
  taken(): number {
    return this.takenByOthers('');
  }

  /** Whether a holder may be using an asset on this target. */
  isInUse(assetId: string): boolean {
    return [...this.leases.values()].some((lease) => lease.assetIds.includes(assetId));
  }

  /** Renews a holder's lease. Returns the slots that it may use until the term ends. */
  grant(request: TargetLeaseRequest, window: number): number {
    this.dropOldRequests();
    this.demands.set(request.holder, { demand: request.demand, requestedAtMs: this.clock.nowMs() });
    const { holder, wantSlots, inflight, heldSlots, assetIds } = request;
    const free = Math.max(0, window - this.takenByOthers(holder));
    const slots = Math.min(wantSlots, free, this.maxSlotsFor(holder, window));
    // The holder may keep using its previous slots until it receives this reply.
    const maxInUse = Math.max(slots, heldSlots, inflight);
    const expiresAtMs = this.clock.nowMs() + this.termMs;
    if (maxInUse === 0) this.leases.delete(holder);
    else this.leases.set(holder, { maxInUse, expiresAtMs, assetIds });
    this.recordRefusal(holder, slots < Math.min(wantSlots, 1));
    return slots;
  }

  /**
   * Drops expired leases if the target reports no requests in flight, or if their holder has
   * vanished.
   */
  reconcile(reportedInflight: number): void {
    const nowMs = this.clock.nowMs();
    this.leases.forEach((lease, holder) => {
      const expiredForMs = nowMs - lease.expiresAtMs;
      const isUnused = reportedInflight === 0 || expiredForMs > VANISHED_HOLDER_TIMEOUT_MS;
      if (expiredForMs >= 0 && isUnused) this.leases.delete(holder);
    });
  }

  private recordRefusal(holder: string, isRefused: boolean): void {
    if (isRefused) this.refused.set(holder, this.clock.nowMs());
    else this.refused.delete(holder);
  }

  private takenByOthers(holder: string): number {
    const others = [...this.leases].filter(([other]) => other !== holder);
    return others.reduce((sum, [, lease]) => sum + lease.maxInUse, 0);
  }

  /** Returns the most slots that a holder may have: the whole window unless slots are scarce. */
  private maxSlotsFor(holder: string, window: number): number {
    const isOtherRefused = [...this.refused.keys()].some((other) => other !== holder);
    if (!isOtherRefused && this.totalDemand() <= window) return window;
    const demands = new Map([...this.demands].map(([other, { demand }]) => [other, demand]));
    const dueSlots =
      (fairShares(window, demands).get(holder) ?? 0) + (this.fractionalSlots.get(holder) ?? 0);
    const maxSlots = Math.floor(dueSlots);
    this.fractionalSlots.set(holder, dueSlots - maxSlots);
    if (maxSlots >= 1) return maxSlots;
    const [first] = this.refused.keys();
    return first === holder ? 1 : 0;
  }

  private totalDemand(): number {
    const all = [...this.demands.values()].flatMap(({ demand }) => demand);
    return all.reduce((sum, { slots }) => sum + slots, 0);
  }

  private dropOldRequests(): void {
    const oldestMs = this.clock.nowMs() - this.termMs;
    this.refused.forEach((requestedAtMs, holder) => {
      if (requestedAtMs < oldestMs) this.refused.delete(holder);
    });
    this.demands.forEach(({ requestedAtMs }, holder) => {
      if (requestedAtMs >= oldestMs) return;
      this.demands.delete(holder);
      this.fractionalSlots.delete(holder);
    });
  }
}

export default SlotLeases;
