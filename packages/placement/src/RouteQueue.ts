import { FairQueue, type QueueItem } from '@wisteriapath/admission';
import { type Either, Left, Right } from 'purify-ts';
import { type Clock, ErrorKind, ServeError } from '@wisteriapath/model';
import type SlotLeaseReply from './SlotLeaseReply';
import DemandCounter from './DemandCounter';
import HeldTarget from './HeldTarget';
import type PlacerLink from './PlacerLink';
import type Slot from './Slot';
import type SlotRequest from './SlotRequest';
import chooseTarget from './chooseTarget';

const RETRY_MS = 50;
const SPARE_SLOTS = 1;
const RENEWALS_PER_TERM = 3;
/** Reason of an expected abort; the default one costs an exception with its stack trace. */
const ENDED = 'ended';

interface Parts {
  readonly routeName: string;
  readonly instance: string;
  readonly link: PlacerLink;
  readonly clock: Clock;
  /** Failure domains to ask, in this order. */
  readonly domains: () => readonly string[];
  /** Time for which granted slots may be used, counted from before they were asked for. */
  readonly slotUsableMs: number;
  readonly answerMarginMs: number;
  /** Time for which the next failure domain is not asked in place of one without a placer. */
  readonly placerGraceMs: () => number;
}

interface Waiter extends QueueItem, SlotRequest {
  readonly answer: (result: Either<ServeError, Slot>) => void;
}

/** Feeds one route's waiting requests with slots: one task that renews leases while there is work. */
class RouteQueue {
  private readonly queue = new FairQueue<Waiter>();

  private readonly waiters = new Set<Waiter>();

  private readonly demands = new DemandCounter();

  private readonly targets = new Map<string, HeldTarget>();

  /** Since when each failure domain has had no placer that answers. */
  private readonly unreachableSinceMs = new Map<string, number>();

  private feeding = false;

  private wakeUp = new AbortController();

  private lastRefusal: ErrorKind | undefined;

  constructor(private readonly parts: Parts) {}

  get waitingCount(): number {
    return this.waiters.size;
  }

  /** Waits for a slot; refused in time if none comes. */
  acquire(request: SlotRequest): Promise<Either<ServeError, Slot>> {
    return new Promise((resolve) => {
      const settled = new AbortController();
      const waiter: Waiter = {
        ...request,
        deadlineAtMs: this.parts.clock.nowMs() + request.deadline.remainingMs(),
        answer: (result) => {
          settled.abort(ENDED);
          this.waiters.delete(waiter);
          this.queue.remove(waiter);
          if (result.isLeft()) this.demands.remove(waiter.workspace);
          resolve(result);
        },
      };
      this.waiters.add(waiter);
      this.demands.add(waiter.workspace, waiter.weight);
      this.queue.push(waiter);
      this.pump();
      if (settled.signal.aborted) return;
      void this.refuseInTime(waiter, settled.signal);
      this.feed();
    });
  }

  private async refuseInTime(waiter: Waiter, settled: AbortSignal): Promise<void> {
    const waitMs = waiter.deadline.remainingMs() - this.parts.answerMarginMs;
    await this.parts.clock.sleep(waitMs, settled);
    if (settled.aborted) return;
    const kind = this.lastRefusal ?? ErrorKind.DeadlineExpired;
    waiter.answer(Left(ServeError.notRun(kind, 'no target was free before the deadline')));
  }

  private feed(): void {
    this.wakeUp.abort(ENDED);
    if (this.feeding) return;
    this.feeding = true;
    void this.renewWhileBusy();
  }

  private async renewWhileBusy(): Promise<void> {
    const { clock, slotUsableMs: usableMs } = this.parts;
    while (this.demand() > 0) {
      this.wakeUp = new AbortController();
      await this.renew(this.demand() + SPARE_SLOTS);
      this.pump();
      const waitMs = this.waiters.size > 0 ? RETRY_MS : usableMs / RENEWALS_PER_TERM;
      await clock.sleep(waitMs, this.wakeUp.signal);
    }
    this.targets.forEach((target) => target.releaseFreeSlots());
    await this.renew(0);
    this.feeding = false;
    if (this.demand() > 0) this.feed();
  }

  private inflight(): number {
    return [...this.targets.values()].reduce((sum, target) => sum + target.inflight, 0);
  }

  private demand(): number {
    return this.waiters.size + this.inflight();
  }

  /** Asks the placers in order until enough slots are held. */
  private async renew(wantSlots: number): Promise<void> {
    let wanted = wantSlots;
    const refusals: (ErrorKind | undefined)[] = [];
    let soonestReadyMs = Infinity;
    const domains = this.domainsToAsk();
    for (const domain of domains) {
      const held = this.heldIn(domain);
      if (wanted > 0 || held.length > 0) {
        const startedMs = this.parts.clock.nowMs();
        const answer = await this.ask(domain, wanted, held);
        if (answer?.isPlacer !== true) {
          refusals.push(ErrorKind.PlacementUnavailable);
          if (this.isExpectedBack(domain)) wanted = 0;
        } else {
          this.unreachableSinceMs.delete(domain);
          refusals.push(answer.refusal ?? undefined);
          if (answer.refusal === null) {
            soonestReadyMs = Math.min(soonestReadyMs, answer.expectedReadyMs);
          }
          wanted -= this.absorb(domain, answer, startedMs);
          if (!answer.mayOverflow) wanted = 0;
        }
      }
    }
    this.refuseHopeless(refusals, soonestReadyMs);
  }

  /** Whether a silent placer is waited for: asking elsewhere would load another replica. */
  private isExpectedBack(domain: string): boolean {
    const nowMs = this.parts.clock.nowMs();
    const sinceMs = this.unreachableSinceMs.get(domain) ?? nowMs;
    this.unreachableSinceMs.set(domain, sinceMs);
    return nowMs - sinceMs < this.parts.placerGraceMs();
  }

  private domainsToAsk(): string[] {
    const holding = [...this.targets.values()].map((target) => target.identity.failureDomain);
    return [...new Set([...this.parts.domains(), ...holding])];
  }

  private heldIn(domain: string): HeldTarget[] {
    return [...this.targets.values()].filter((target) => target.identity.failureDomain === domain);
  }

  private async ask(
    domain: string,
    wantSlots: number,
    held: readonly HeldTarget[],
  ): Promise<SlotLeaseReply | undefined> {
    const { instance, routeName: route, link } = this.parts;
    const uses = held.map((target) => target.takeUsage());
    const answer = await link.acquire(domain, {
      instance,
      route,
      wantSlots,
      uses,
      demand: this.demands.list(),
    });
    return answer.extract();
  }

  private absorb(domain: string, answer: SlotLeaseReply, startedMs: number): number {
    const granted = new Map(answer.grants.map((grant) => [grant.target, grant]));
    const untilMs = startedMs + this.parts.slotUsableMs;
    this.heldIn(domain)
      .filter((target) => !granted.has(target.identity.name))
      .forEach((target) => {
        target.setGrant(0, untilMs);
        if (!target.isActive) this.targets.delete(target.identity.name);
      });
    granted.forEach(({ target, url, slots }) => {
      this.hold(target, url, domain).setGrant(slots, untilMs);
    });
    return answer.grants.reduce((sum, grant) => sum + grant.slots, 0);
  }

  private hold(name: string, url: string, failureDomain: string): HeldTarget {
    const known = this.targets.get(name);
    if (known !== undefined) return known;
    const target = new HeldTarget({ name, url, failureDomain }, this.parts.clock);
    this.targets.set(name, target);
    return target;
  }

  /** Refuses at once what no placer can serve, or not before the deadline. */
  private refuseHopeless(
    refusals: readonly (ErrorKind | undefined)[],
    soonestReadyMs: number,
  ): void {
    this.lastRefusal = refusals.find((refusal) => refusal !== undefined);
    const definite = refusals.filter((refusal) => refusal !== ErrorKind.PlacementUnavailable);
    const hopeless = definite.length === refusals.length && refusals.every(Boolean);
    if (hopeless && this.inflight() === 0) {
      const kind = this.lastRefusal ?? ErrorKind.NoTarget;
      const message = 'no failure domain has a target for the route';
      this.waiters.forEach((waiter) => waiter.answer(Left(ServeError.notRun(kind, message))));
      return;
    }
    if (soonestReadyMs === 0 || !Number.isFinite(soonestReadyMs)) return;
    this.waiters.forEach((waiter) => {
      if (waiter.deadline.remainingMs() > soonestReadyMs) return;
      const message = 'the model cannot be loaded before the deadline';
      waiter.answer(Left(ServeError.notRun(ErrorKind.CannotFit, message, soonestReadyMs)));
    });
  }

  private pump(): void {
    while (this.waiters.size > 0) {
      const free = [...this.targets.values()].filter((target) => target.hasFreeSlot);
      const allows = (waiter: Waiter) => (target: HeldTarget) =>
        !waiter.isExcluded(target.identity.name);
      const waiter = this.queue.pop((item) => free.some(allows(item)));
      if (waiter === undefined) return;
      const allowed = free.filter(allows(waiter));
      const target = chooseTarget(allowed, waiter.findPreferred);
      const candidates = allowed.map(({ identity, load }) => ({ target: identity.name, load }));
      waiter.answer(Right(target.takeSlot(candidates, () => this.released(waiter))));
    }
  }

  private released({ workspace }: Waiter): void {
    this.demands.remove(workspace);
    this.pump();
    if (this.demand() === 0) this.wakeUp.abort(ENDED);
  }
}

export default RouteQueue;
