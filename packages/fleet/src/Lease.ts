import type { Clock } from '@wisteriapath/model';
import type Authority from './Authority';
import type EventLog from './EventLog';
import LeaseClaim from './LeaseClaim';
import type LeaseContent from './LeaseContent';
import type LeaseEntry from './LeaseEntry';
import LeaseLoss from './LeaseLoss';
import type LeaseState from './LeaseState';
import type LeaseStore from './LeaseStore';
import type Moment from './Moment';
import type StorePosition from './StorePosition';
import type Tenure from './Tenure';
import type WallClock from './WallClock';
import comparePositions from './comparePositions';
import fenceOf from './fenceOf';
import isCertainLease from './isCertainLease';
import leaseClaimOf from './leaseClaimOf';
import runLoop from './runLoop';

interface Options {
  /** Name of the machine. Stays the same when its process restarts. */
  readonly machine: string;
  /** Identifies one run of the process; changes with each start. */
  readonly incarnation: string;
  /** Least time between the last order of one holder and the first order of the next. */
  readonly handoverDelayMs: number;
}

interface Parts {
  readonly clock: Clock;
  readonly wallClock: WallClock;
  readonly store: LeaseStore;
  readonly log: EventLog;
  /** The newest moment, on both clocks, at which no other machine can have begun to take over; see `HolderContact`. */
  readonly lastContact: () => { readonly sentMs: number; readonly sentWallMs: number } | undefined;
  /** Rank of this machine among the candidates: 0 is first, negative if it is no candidate. */
  readonly rank: () => number;
}

/** Time for which a renewal gives authority, counted from when it was sent. */
const LEASE_DURATION_MS = 1_600;
const RENEWAL_INTERVAL_MS = 600;
/** Time without a heartbeat of the holder after which the first candidate reads the store. */
const HOLDER_TIMEOUT_MS = 900;
/** Time for which contact with the peers gives authority while the store does not answer. */
const CONTACT_VALIDITY_MS = 700;
/** Longest time without a renewal for which contact alone gives authority. */
const MAX_TIME_WITHOUT_RENEWAL_MS = 20_000;
/** Uptime of a process before which it takes no unreleased lease from another machine. */
const MIN_TAKEOVER_UPTIME_MS = 3_000;
/** Further time that a candidate waits for each candidate ranked before it. */
const TAKEOVER_DELAY_PER_RANK_MS = 250;
const POLL_INTERVAL_MS = 100;
/** Pause after a renewal that the store refused or did not answer. */
const STORE_RETRY_INTERVAL_MS = 300;
/** A greater difference between both clocks shows a suspension or a jump of the time of day. */
const MAX_CLOCK_SKEW_MS = 250;
/** Longest time that an order sent in the last moment of a lease takes to reach its engine. */
const MAX_ORDER_TRANSIT_MS = 150;

/**
 * A lease that gives one machine at a time the authority to give orders, kept by conditional
 * appends to the store.
 *
 * Authority ends `LEASE_DURATION_MS` after the renewal in force was sent. The time is taken from
 * the monotonic clock and checked against the time of day, because the monotonic clock does not
 * advance during a suspension. While the store does not answer, authority lasts as long as every
 * candidate acknowledges the holder's heartbeats, because one that receives them does not take over; a holder without
 * other candidates needs contact with half of its peers.
 * A successor waits until the authority of its predecessor has ended, and another `handoverDelayMs`
 * before its first order.
 *
 * The store may come back from an older copy, in which the newest records of the lease are gone. A holder whose
 * authority has lasted until it learns of that has no successor, so it keeps its fencing token and writes its record
 * again. One whose authority has ended takes the lease anew. For all others, what the copy says proves nothing
 * (`leaseClaimOf`): they wait as for a holder that does not respond.
 */
class Lease implements Authority {
  private tenure: Tenure | undefined;

  /** Newest known record of another holder, and when it was last known to be the newest. */
  private observed: { readonly position: StorePosition; readonly atMs: number } | undefined;

  /** Whether this process lost its last tenure, so that no record of its own proves anything. */
  private hasLostTenure = false;

  /**
   * When the holder last sent a heartbeat, or when it could first be missed; on the monotonic
   * clock.
   */
  private lastHolderHeartbeatMs: number;

  private readonly startedMs: number;

  private stopped = false;

  /** Waits for its turn between two renewals. */
  private entry: LeaseEntry | undefined;

  constructor(
    private readonly options: Options,
    private readonly parts: Parts,
  ) {
    this.lastHolderHeartbeatMs = parts.clock.nowMs();
    this.startedMs = this.lastHolderHeartbeatMs;
  }

  /** Name of this machine. */
  get holder(): string {
    return this.options.machine;
  }

  /** Fencing token of the lease; 0 if this machine does not hold it. */
  get fence(): number {
    return this.tenure?.fence ?? 0;
  }

  /** Whether this machine holds the lease, even if it may not give orders now. */
  get isHolder(): boolean {
    return this.tenure !== undefined;
  }

  /** Whether orders may be given now or will be allowed within `withinMs`. */
  isHeldWithin(withinMs: number): boolean {
    return this.isCurrent && this.parts.clock.nowMs() + withinMs >= this.tenure!.ordersFromMs;
  }

  /** Whether orders may be given now. */
  isHeld(): boolean {
    return this.isCurrent && this.parts.clock.nowMs() >= this.tenure!.ordersFromMs;
  }

  /** Whether the lease still gives authority, even if the handover delay has not passed yet. */
  get isCurrent(): boolean {
    const { tenure } = this;
    if (tenure === undefined || this.stopped) return false;
    if (this.isWithin(tenure, LEASE_DURATION_MS)) return true;
    const contact = this.parts.lastContact();
    const isRecentlyRenewed =
      this.parts.clock.nowMs() - tenure.sentMs < MAX_TIME_WITHOUT_RENEWAL_MS;
    return (
      isRecentlyRenewed && contact !== undefined && this.isWithin(contact, CONTACT_VALIDITY_MS)
    );
  }

  /** Whether less than `limitMs` has passed and both clocks agree on it. */
  private isWithin({ sentMs, sentWallMs }: Moment, limitMs: number): boolean {
    const monotonicMs = this.parts.clock.nowMs() - sentMs;
    const wallMs = this.parts.wallClock() - sentWallMs;
    return monotonicMs < limitMs && Math.abs(wallMs - monotonicMs) < MAX_CLOCK_SKEW_MS;
  }

  /** Records that a peer claims the lease by the record at `position`. A tenure by an earlier record has ended. */
  observeHolder(position: StorePosition): void {
    this.lastHolderHeartbeatMs = this.parts.clock.nowMs();
    this.observeRecord(position);
    const { tenure } = this;
    if (tenure === undefined || comparePositions(position, tenure.next) < 0) return;
    this.lose(tenure, LeaseLoss.Peer);
  }

  /** Records that an engine refused a fencing token as it has seen a higher one. The tenure of that token has ended. */
  observeFenced(fence: number): void {
    if (this.tenure?.fence === fence) this.lose(this.tenure, LeaseLoss.Engine);
  }

  /** Notes the newest known record. One that differs in any way begins a new wait, as an earlier claim may be wrong. */
  private observeRecord(position: StorePosition): void {
    if (this.observed !== undefined && comparePositions(position, this.observed.position) === 0) {
      return;
    }
    this.observed = { position, atMs: this.parts.clock.nowMs() };
  }

  /** Position of the newest record of this machine's tenure; `undefined` if it does not hold the lease. */
  get position(): StorePosition | undefined {
    const next = this.tenure?.next;
    return next && { ...next, offset: next.offset - 1 };
  }

  /** Renews the lease, or takes it over from an unresponsive holder, until stopped. */
  async run(): Promise<void> {
    const { clock, log } = this.parts;
    const isOver = () => this.stopped;
    await runLoop({ name: 'lease', clock, log, isOver, step: () => this.renewOrTakeOver() });
  }

  private async renewOrTakeOver(): Promise<void> {
    if (this.tenure !== undefined) {
      if (this.entry === undefined || this.isRenewalDue(this.tenure)) {
        await this.renew(this.tenure);
      }
      await this.endEntry(this.tenure);
      await this.sleepUntilRenewal();
      return;
    }
    await this.endEntry(undefined);
    await this.tryTakeover();
    await this.parts.clock.sleep(POLL_INTERVAL_MS);
  }

  /**
   * Appends a further record at the next position of the tenure, between two renewals. Resolves to whether it is known to
   * be stored, which proves that the lease was held then. It does not renew the lease: candidates watch the newest record
   * of the lease itself, and authority counted from another one would outlast their wait. One that is not known to be
   * stored may be stored later, so that the caller appends no other one in its place. One entry may wait at a time.
   */
  async appendEntry(append: LeaseEntry['append']): Promise<boolean> {
    if (this.entry !== undefined || this.tenure === undefined || this.stopped) return false;
    return new Promise((onEnd) => {
      this.entry = { append, onEnd };
    });
  }

  private async endEntry(tenure: Tenure | undefined): Promise<void> {
    const { entry } = this;
    if (entry === undefined) return;
    const isStored = tenure !== undefined && (await this.storeEntry(tenure, entry));
    this.entry = undefined;
    entry.onEnd(isStored);
  }

  private async storeEntry(tenure: Tenure, { append }: LeaseEntry): Promise<boolean> {
    const { next } = tenure;
    const answer = await append(next);
    if (this.tenure !== tenure) return false;
    if (answer?.isAppended === true) {
      if (answer.era !== next.era && !this.outlasts(tenure, answer.era)) return false;
      Object.assign(tenure, { next: { era: answer.era, offset: next.offset + 1 } });
      return true;
    }
    const newest = await this.parts.store.newest();
    if (this.tenure !== tenure || newest === undefined) return false;
    // Passes the renewal in force, so that nothing extends the authority.
    this.applyNewest(tenure, newest, tenure);
    const { era, record, nextOffset } = newest;
    const isBehindRecord = (record?.offset ?? Infinity) < next.offset;
    return this.tenure === tenure && era === next.era && nextOffset > next.offset && isBehindRecord;
  }

  /** Gives the lease up, so that another candidate takes it; this machine may take it again later. */
  async resign(): Promise<void> {
    const { tenure } = this;
    this.hasLostTenure = true;
    this.tenure = undefined;
    await this.release(tenure);
  }

  /** Releases the lease, so that a successor need not wait until it expires. */
  async stop(): Promise<void> {
    const { tenure } = this;
    this.stopped = true;
    this.tenure = undefined;
    this.entry?.onEnd(false);
    await this.release(tenure);
  }

  private async release(tenure: Tenure | undefined): Promise<void> {
    if (tenure === undefined) return;
    const answer = await this.parts.store.append(tenure.next, this.content(tenure, true));
    const stored = String(answer?.isAppended);
    this.parts.log.event('lease_released', { fence: tenure.fence, stored });
  }

  private content({ ordersFromMs }: Pick<Tenure, 'ordersFromMs'>, released: boolean): LeaseContent {
    const isSettled = this.parts.clock.nowMs() >= ordersFromMs;
    return { holder: this.holderId, released, isSettled };
  }

  private get holderId(): string {
    return `${this.options.machine}#${this.options.incarnation}`;
  }

  private async sleepUntilRenewal(): Promise<void> {
    const { clock } = this.parts;
    const { tenure } = this;
    if (tenure === undefined) return;
    while (!this.stopped && this.entry === undefined && !this.isRenewalDue(tenure)) {
      const monotonicMs = clock.nowMs() - tenure.sentMs;
      await clock.sleep(Math.min(POLL_INTERVAL_MS, RENEWAL_INTERVAL_MS - monotonicMs));
    }
  }

  private isRenewalDue({ sentMs, sentWallMs }: Tenure): boolean {
    const monotonicMs = this.parts.clock.nowMs() - sentMs;
    const skewMs = Math.abs(this.parts.wallClock() - sentWallMs - monotonicMs);
    return monotonicMs >= RENEWAL_INTERVAL_MS || skewMs >= MAX_CLOCK_SKEW_MS;
  }

  private async renew(tenure: Tenure): Promise<void> {
    const { clock, store, log } = this.parts;
    const sent = this.now();
    const answer = await store.append(tenure.next, this.content(tenure, false));
    if (this.tenure !== tenure) return;
    if (answer?.isAppended === true) {
      const next = { era: answer.era, offset: tenure.next.offset + 1 };
      if (answer.era === tenure.next.era || this.outlasts(tenure, answer.era)) {
        Object.assign(tenure, { ...sent, next, unknownSince: undefined });
      }
      return;
    }
    // Of several appends of unknown outcome, any one may have been carried out.
    const firstSent = tenure.unknownSince ?? sent;
    if (answer === undefined) Object.assign(tenure, { unknownSince: firstSent });
    const newest = await store.newest();
    if (this.tenure !== tenure) return;
    if (newest === undefined) {
      log.event('lease_renewal_unknown', { fence: tenure.fence });
      await clock.sleep(STORE_RETRY_INTERVAL_MS);
      return;
    }
    const { next } = tenure;
    this.applyNewest(tenure, newest, firstSent);
    // A store that only refuses appends answers at once.
    if (comparePositions(tenure.next, next) === 0) await clock.sleep(STORE_RETRY_INTERVAL_MS);
  }

  /** Applies what the store keeps after an append that was refused, or whose answer is not known. */
  private applyNewest(tenure: Tenure, newest: LeaseState, firstSent: Moment): void {
    const { era, record, nextOffset } = newest;
    const next = { era, offset: nextOffset };
    const isCertain = isCertainLease(newest);
    const isOwn = isCertain && record?.holder === this.holderId;
    if (!isCertain || era !== tenure.next.era) {
      if (!this.outlasts(tenure, era)) return;
      // What is not certain is a copy, or was carried out late. This holder writes its own again at once.
      if (!isCertain || isOwn) {
        const isMoved = comparePositions(next, tenure.next) !== 0;
        Object.assign(tenure, isMoved ? { next, unknownSince: undefined } : { next });
        return;
      }
    }
    if (!isOwn) {
      this.lose(tenure, LeaseLoss.Record, record?.holder);
      return;
    }
    // If the append was stored, authority counts from when it was sent. Otherwise the renewal
    // before it stays in force, also if a further record was stored instead.
    const isStored = record.offset >= tenure.next.offset;
    Object.assign(tenure, isStored ? { ...firstSent, next, unknownSince: undefined } : { next });
  }

  /**
   * Whether a tenure goes on though what the store says does not prove it, as after a return. It does if its authority
   * has lasted until now, as no other machine can have taken the lease before that.
   */
  private outlasts(tenure: Tenure, era: number): boolean {
    if (!this.isCurrent) {
      this.lose(tenure, LeaseLoss.StoreReturned);
      return false;
    }
    const { fence } = tenure;
    this.parts.log.event('lease_kept', { fence, era, previous_era: tenure.next.era });
    return true;
  }

  /** Ends a tenure. This machine takes the lease again only as after an unresponsive holder. */
  private lose(tenure: Tenure, reason: LeaseLoss, holder = ''): void {
    this.parts.log.event('lease_lost', { fence: tenure.fence, holder, reason });
    this.tenure = undefined;
    this.hasLostTenure = true;
    this.lastHolderHeartbeatMs = this.parts.clock.nowMs();
  }

  private now(): Moment {
    return { sentMs: this.parts.clock.nowMs(), sentWallMs: this.parts.wallClock() };
  }

  private async tryTakeover(): Promise<void> {
    const { clock, store } = this.parts;
    const rank = this.parts.rank();
    const silentMs = clock.nowMs() - this.lastHolderHeartbeatMs;
    if (rank < 0 || silentMs < HOLDER_TIMEOUT_MS + rank * TAKEOVER_DELAY_PER_RANK_MS) return;
    const newest = await store.newest();
    if (newest === undefined || this.stopped) return;
    const isOwnDoubtful = this.hasLostTenure && newest.record?.holder === this.holderId;
    const claim = isOwnDoubtful
      ? LeaseClaim.AfterExpiry
      : leaseClaimOf(newest, this.options.machine);
    const take: Record<LeaseClaim, () => Promise<void>> = {
      [LeaseClaim.AtOnce]: () => this.acquire(newest, clock.nowMs()),
      [LeaseClaim.AfterHandover]: () => this.acquire(newest, clock.nowMs() + this.handoverMs),
      [LeaseClaim.AfterExpiry]: () => this.takeFromUnresponsiveHolder(newest),
    };
    await take[claim]();
  }

  /** Least time from the end of another holder's authority to the first order of this one. */
  private get handoverMs(): number {
    return this.options.handoverDelayMs + MAX_ORDER_TRANSIT_MS;
  }

  /** Takes over once the authority of an unresponsive holder has ended. */
  private async takeFromUnresponsiveHolder(newest: LeaseState): Promise<void> {
    const { clock, store } = this.parts;
    const nowMs = clock.nowMs();
    const position = Lease.positionOf(newest);
    this.observeRecord(position);
    if (nowMs - this.startedMs < MIN_TAKEOVER_UPTIME_MS) return;
    const { lastHolderHeartbeatMs } = this;
    const endMs = Math.max(
      this.observed!.atMs + LEASE_DURATION_MS,
      lastHolderHeartbeatMs + CONTACT_VALIDITY_MS,
    );
    if (nowMs < endMs) {
      await clock.sleep(endMs - nowMs);
      const latest = await store.newest();
      if (latest === undefined) return;
      if (comparePositions(Lease.positionOf(latest), position) !== 0) return;
      // The holder has been heard again, and may count on having been heard.
      if (lastHolderHeartbeatMs !== this.lastHolderHeartbeatMs) return;
    }
    await this.acquire(newest, endMs + this.handoverMs);
  }

  /** Returns the position of the newest record; its offset is -1 if there is none. */
  private static positionOf({ era, record }: LeaseState): StorePosition {
    return { era, offset: record?.offset ?? -1 };
  }

  private async acquire({ era, nextOffset }: LeaseState, ordersFromMs: number): Promise<void> {
    const { clock, store, log } = this.parts;
    const at = { era, offset: nextOffset };
    const sent = this.now();
    const answer = await store.append(at, this.content({ ordersFromMs }, false));
    if (answer?.isAppended !== true || this.stopped) return;
    if (answer.era !== era) {
      // What was read before the store came back says nothing about what is there now.
      log.event('lease_not_taken', { era: answer.era, previous_era: era });
      return;
    }
    const next = { era, offset: nextOffset + 1 };
    this.tenure = { fence: fenceOf(at), next, unknownSince: undefined, ...sent, ordersFromMs };
    this.hasLostTenure = false;
    const waitMs = Math.max(0, Math.round(ordersFromMs - clock.nowMs()));
    log.event('lease_taken', { fence: this.fence, first_order_in_ms: waitMs });
  }
}

export default Lease;
