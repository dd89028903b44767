import { FairQueue, type QueueItem } from '@wisteriapath/admission';
import { type Either, Left, Right } from 'purify-ts';
import { type Clock, ErrorKind, ServeError, wakeUp } from '@wisteriapath/model';
import type SlotLeaseReply from './SlotLeaseReply';
import DemandCounter from './DemandCounter';
import HeldTarget from './HeldTarget';
import type PlacerLink from './PlacerLink';
import type Slot from './Slot';
import type SlotRequest from './SlotRequest';
import chooseTarget from './chooseTarget';

/** Interval of lease requests while requests wait for a slot. */
const RETRY_INTERVAL_MS = 50;
/** Slots that are requested beyond the number of waiting and running requests. */
const SPARE_SLOTS = 1;
const RENEWALS_PER_TERM = 3;

interface Parts {
  readonly routeName: string;
  readonly instance: string;
  readonly link: PlacerLink;
  readonly clock: Clock;
  /** Failure domains whose placers are asked, in order of preference. */
  readonly domains: () => readonly string[];
  /** Time for which granted slots may be used, counted from just before the request is sent. */
  readonly slotUsableMs: number;
  /** Time before its deadline at which a waiting request is refused. */
  readonly answerMarginMs: number;
  /**
   * Time to wait for a failure domain whose placer does not answer before the next one is asked.
   */
  readonly placerGraceMs: () => number;
}

interface Waiter extends QueueItem, SlotRequest {
  readonly settle: (result: Either<ServeError, Slot>) => void;
}

/**
 * Queues the requests of one route until a slot is free. One background task leases slots and
 * renews the leases while requests wait or run.
 */
class RouteQueue {
  private readonly queue = new FairQueue<Waiter>();

  private readonly waiters = new Set<Waiter>();

  private readonly demands = new DemandCounter();

  private readonly targets = new Map<string, HeldTarget>();

  /** Monotonic time since which the placer of each failure domain has not answered. */
  private readonly unreachableSinceMs = new Map<string, number>();

  private isRenewing = false;

  private wakeUpController = new AbortController();

  private lastRefusal: ErrorKind | undefined;

  constructor(private readonly parts: Parts) {}

  /** Number of requests that wait for a slot. */
  get waitingCount(): number {
    return this.waiters.size;
  }

  /**
   * Waits for a slot. Returns an error `answerMarginMs` before the deadline if none is free by
   * then, or earlier if no placer can grant one in time.
   */
  acquire(request: SlotRequest): Promise<Either<ServeError, Slot>> {
    return new Promise((resolve) => {
      const settledController = new AbortController();
      const waiter: Waiter = {
        ...request,
        deadlineAtMs: this.parts.clock.nowMs() + request.deadline.remainingMs(),
        settle: (result) => {
          wakeUp(settledController);
          this.waiters.delete(waiter);
          this.queue.remove(waiter);
          if (result.isLeft()) this.demands.remove(waiter.workspace);
          resolve(result);
        },
      };
      this.waiters.add(waiter);
      this.demands.add(waiter.workspace, waiter.weight);
      this.queue.push(waiter);
      this.assignSlots();
      if (settledController.signal.aborted) return;
      void this.refuseBeforeDeadline(waiter, settledController.signal);
      this.startRenewing();
    });
  }

  private async refuseBeforeDeadline(waiter: Waiter, settled: AbortSignal): Promise<void> {
    const waitMs = waiter.deadline.remainingMs() - this.parts.answerMarginMs;
    await this.parts.clock.sleep(waitMs, settled);
    if (settled.aborted) return;
    const kind = this.lastRefusal ?? ErrorKind.DeadlineExpired;
    waiter.settle(Left(ServeError.notExecuted(kind, 'no target was free before the deadline')));
  }

  private startRenewing(): void {
    wakeUp(this.wakeUpController);
    if (this.isRenewing) return;
    this.isRenewing = true;
    void this.renewWhileBusy();
  }

  private async renewWhileBusy(): Promise<void> {
    const { clock, slotUsableMs } = this.parts;
    while (this.demand() > 0) {
      this.wakeUpController = new AbortController();
      await this.renew(this.demand() + SPARE_SLOTS);
      this.assignSlots();
      const waitMs = this.waiters.size > 0 ? RETRY_INTERVAL_MS : slotUsableMs / RENEWALS_PER_TERM;
      await clock.sleep(waitMs, this.wakeUpController.signal);
    }
    this.targets.forEach((target) => target.releaseFreeSlots());
    await this.renew(0);
    this.isRenewing = false;
    if (this.demand() > 0) this.startRenewing();
  }

  private inflight(): number {
    return [...this.targets.values()].reduce((sum, target) => sum + target.inflight, 0);
  }

  /** Number of requests that wait or run. */
  private demand(): number {
    return this.waiters.size + this.inflight();
  }

  /**
   * Requests slots from the placers in order until `wantSlots` are granted, and renews held leases.
   */
  private async renew(wantSlots: number): Promise<void> {
    let wanted = wantSlots;
    const refusals: (ErrorKind | undefined)[] = [];
    let soonestReadyMs = Infinity;
    const domains = this.domainsToAsk();
    for (const domain of domains) {
      const held = this.targetsIn(domain);
      if (wanted > 0 || held.length > 0) {
        const requestedAtMs = this.parts.clock.nowMs();
        const reply = await this.requestSlots(domain, wanted, held);
        if (reply?.isPlacer !== true) {
          refusals.push(ErrorKind.PlacementUnavailable);
          if (this.shouldAwaitPlacer(domain)) wanted = 0;
        } else {
          this.unreachableSinceMs.delete(domain);
          refusals.push(reply.refusal ?? undefined);
          if (reply.refusal === null) {
            soonestReadyMs = Math.min(soonestReadyMs, reply.expectedReadyMs);
          }
          wanted -= this.applyReply(domain, reply, requestedAtMs);
          if (!reply.mayOverflow) wanted = 0;
        }
      }
    }
    this.refuseUnservable(refusals, soonestReadyMs);
  }

  /**
   * Whether to wait for a placer that does not answer, as asking another would load a second
   * replica.
   */
  private shouldAwaitPlacer(domain: string): boolean {
    const nowMs = this.parts.clock.nowMs();
    const sinceMs = this.unreachableSinceMs.get(domain) ?? nowMs;
    this.unreachableSinceMs.set(domain, sinceMs);
    return nowMs - sinceMs < this.parts.placerGraceMs();
  }

  /** Returns the failure domains that may serve the route, and those in which it holds slots. */
  private domainsToAsk(): string[] {
    const holding = [...this.targets.values()].map((target) => target.identity.failureDomain);
    return [...new Set([...this.parts.domains(), ...holding])];
  }

  private targetsIn(domain: string): HeldTarget[] {
    return [...this.targets.values()].filter((target) => target.identity.failureDomain === domain);
  }

  private async requestSlots(
    domain: string,
    wantSlots: number,
    held: readonly HeldTarget[],
  ): Promise<SlotLeaseReply | undefined> {
    const { instance, routeName: route, link } = this.parts;
    const uses = held.map((target) => target.takeUsage());
    const reply = await link.acquire(domain, {
      instance,
      route,
      wantSlots,
      uses,
      demand: this.demands.list(),
    });
    return reply.extract();
  }

  /** Applies the grants of a reply. Returns the number of slots that it grants. */
  private applyReply(domain: string, reply: SlotLeaseReply, requestedAtMs: number): number {
    const granted = new Map(reply.grants.map((grant) => [grant.target, grant]));
    const expiresAtMs = requestedAtMs + this.parts.slotUsableMs;
    this.targetsIn(domain)
      .filter((target) => !granted.has(target.identity.name))
      .forEach((target) => {
        target.setGrant(0, expiresAtMs);
        if (!target.isActive) this.targets.delete(target.identity.name);
      });
    granted.forEach(({ target, url, slots }) => {
      this.targetFor(target, url, domain).setGrant(slots, expiresAtMs);
    });
    return reply.grants.reduce((sum, grant) => sum + grant.slots, 0);
  }

  private targetFor(name: string, url: string, failureDomain: string): HeldTarget {
    const known = this.targets.get(name);
    if (known !== undefined) return known;
    const target = new HeldTarget({ name, url, failureDomain }, this.parts.clock);
    this.targets.set(name, target);
    return target;
  }

  /**
   * Refuses at once the requests that no placer can serve, or can serve only after their deadline.
   */
  private refuseUnservable(
    refusals: readonly (ErrorKind | undefined)[],
    soonestReadyMs: number,
  ): void {
    this.lastRefusal = refusals.find((refusal) => refusal !== undefined);
    const definite = refusals.filter((refusal) => refusal !== ErrorKind.PlacementUnavailable);
    const isUnservable = definite.length === refusals.length && refusals.every(Boolean);
    if (isUnservable && this.inflight() === 0) {
      const kind = this.lastRefusal ?? ErrorKind.NoTarget;
      const message = 'no failure domain has a target for the route';
      this.waiters.forEach((waiter) => waiter.settle(Left(ServeError.notExecuted(kind, message))));
      return;
    }
    if (soonestReadyMs === 0 || !Number.isFinite(soonestReadyMs)) return;
    this.waiters.forEach((waiter) => {
      if (waiter.deadline.remainingMs() > soonestReadyMs) return;
      const message = 'the model cannot be loaded before the deadline';
      waiter.settle(Left(ServeError.notExecuted(ErrorKind.CannotFit, message, soonestReadyMs)));
    });
  }

  private assignSlots(): void {
    while (this.waiters.size > 0) {
      const free = [...this.targets.values()].filter((target) => target.hasFreeSlot);
      const allows = (waiter: Waiter) => (target: HeldTarget) =>
        !waiter.isExcluded(target.identity.name);
      const waiter = this.queue.pop((item) => free.some(allows(item)));
      if (waiter === undefined) return;
      const allowed = free.filter(allows(waiter));
      const target = chooseTarget(allowed, waiter.findPreferred);
      const candidates = allowed.map(({ identity, load }) => ({ target: identity.name, load }));
      waiter.settle(Right(target.takeSlot(candidates, () => this.onReleased(waiter))));
    }
  }

  private onReleased({ workspace }: Waiter): void {
    this.demands.remove(workspace);
    this.assignSlots();
    if (this.demand() === 0) wakeUp(this.wakeUpController);
  }
}

export default RouteQueue;
