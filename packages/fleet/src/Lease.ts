import type { Clock } from '@wisteriapath/model';
import type Authority from './Authority';
import type EventLog from './EventLog';
import type LeaseStore from './LeaseStore';
import type Moment from './Moment';
import type WallClock from './WallClock';
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

/** The period in which this machine holds the lease. */
interface Tenure {
  /** Fencing token. */
  readonly fence: number;
  /** Offset at which the next renewal must be appended. */
  nextOffset: number;
  /** Send time of the renewal in force, on the monotonic clock and as time of day. */
  sentMs: number;
  sentWallMs: number;
  /** Time from which orders may be given. */
  readonly ordersFromMs: number;
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
/** Pause after a renewal whose outcome is unknown because the store does not answer. */
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
 */
class Lease implements Authority {
  private tenure: Tenure | undefined;

  /** Newest known record of another holder, and when it was last known to be the newest. */
  private observed: { offset: number; atMs: number } | undefined;

  /**
   * When the holder last sent a heartbeat, or when it could first be missed; on the monotonic
   * clock.
   */
  private lastHolderHeartbeatMs: number;

  private readonly startedMs: number;

  private stopped = false;

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

  /** Records that a peer claims the lease by the record at `offset`. */
  observeHolder(offset: number): void {
    this.lastHolderHeartbeatMs = this.parts.clock.nowMs();
    if (offset > (this.observed?.offset ?? -1)) {
      this.observed = { offset, atMs: this.lastHolderHeartbeatMs };
    }
  }

  /** Offset of the record by which this machine holds the lease; -1 if it does not hold it. */
  get offset(): number {
    return (this.tenure?.nextOffset ?? 0) - 1;
  }

  /** Renews the lease, or takes it over from an unresponsive holder, until stopped. */
  async run(): Promise<void> {
    const { clock, log } = this.parts;
    const isOver = () => this.stopped;
    await runLoop({ name: 'lease', clock, log, isOver, step: () => this.renewOrTakeOver() });
  }

  private async renewOrTakeOver(): Promise<void> {
    if (this.tenure !== undefined) {
      await this.renew(this.tenure);
      await this.sleepUntilRenewal();
      return;
    }
    await this.tryTakeover();
    await this.parts.clock.sleep(POLL_INTERVAL_MS);
  }

  /** Releases the lease, so that a successor need not wait until it expires. */
  async stop(): Promise<void> {
    const { tenure } = this;
    this.stopped = true;
    this.tenure = undefined;
    if (tenure === undefined) return;
    const released = await this.parts.store.append(tenure.nextOffset, this.holderId, true);
    this.parts.log.event('lease_released', { fence: tenure.fence, stored: String(released) });
  }

  private get holderId(): string {
    return `${this.options.machine}#${this.options.incarnation}`;
  }

  private async sleepUntilRenewal(): Promise<void> {
    const { clock, wallClock } = this.parts;
    const { tenure } = this;
    if (tenure === undefined) return;
    while (!this.stopped) {
      const monotonicMs = clock.nowMs() - tenure.sentMs;
      const skewMs = Math.abs(wallClock() - tenure.sentWallMs - monotonicMs);
      if (monotonicMs >= RENEWAL_INTERVAL_MS || skewMs >= MAX_CLOCK_SKEW_MS) return;
      await clock.sleep(Math.min(POLL_INTERVAL_MS, RENEWAL_INTERVAL_MS - monotonicMs));
    }
  }

  private async renew(tenure: Tenure): Promise<void> {
    const { clock, wallClock, store, log } = this.parts;
    const sentMs = clock.nowMs();
    const sentWallMs = wallClock();
    const appended = await store.append(tenure.nextOffset, this.holderId, false);
    if (this.stopped) return;
    if (appended === true) {
      Object.assign(tenure, { sentMs, sentWallMs, nextOffset: tenure.nextOffset + 1 });
      return;
    }
    const newest = await store.newest();
    if (newest === undefined) {
      log.event('lease_renewal_unknown', { fence: tenure.fence });
      await clock.sleep(STORE_RETRY_INTERVAL_MS);
      return;
    }
    if (newest.record?.holder === this.holderId) {
      // If the append was stored, authority counts from when it was sent. Otherwise the renewal
      // before it stays in force.
      const { nextOffset } = newest;
      const isStored = nextOffset > tenure.nextOffset;
      Object.assign(tenure, isStored ? { sentMs, sentWallMs, nextOffset } : { nextOffset });
      return;
    }
    log.event('lease_lost', { fence: tenure.fence, holder: newest.record?.holder ?? '' });
    this.tenure = undefined;
    this.lastHolderHeartbeatMs = clock.nowMs();
  }

  private async tryTakeover(): Promise<void> {
    const { clock, store } = this.parts;
    const rank = this.parts.rank();
    const silentMs = clock.nowMs() - this.lastHolderHeartbeatMs;
    if (rank < 0 || silentMs < HOLDER_TIMEOUT_MS + rank * TAKEOVER_DELAY_PER_RANK_MS) return;
    const newest = await store.newest();
    if (newest === undefined || this.stopped) return;
    const { record, nextOffset } = newest;
    const machine = record?.holder.split('#')[0];
    if (record === null || machine === this.options.machine) {
      await this.acquire(nextOffset, clock.nowMs());
    } else if (record.released) {
      await this.acquire(nextOffset, clock.nowMs() + this.options.handoverDelayMs);
    } else {
      await this.takeFromUnresponsiveHolder(record.offset, nextOffset);
    }
  }

  /** Takes over once the authority of an unresponsive holder has ended. */
  private async takeFromUnresponsiveHolder(offset: number, nextOffset: number): Promise<void> {
    const { clock } = this.parts;
    const nowMs = clock.nowMs();
    if (this.observed === undefined || offset > this.observed.offset) {
      this.observed = { offset, atMs: nowMs };
    }
    if (nowMs - this.startedMs < MIN_TAKEOVER_UPTIME_MS) return;
    const endMs = Math.max(
      this.observed.atMs + LEASE_DURATION_MS,
      this.lastHolderHeartbeatMs + CONTACT_VALIDITY_MS,
    );
    if (nowMs < endMs) {
      await clock.sleep(endMs - nowMs);
      const latest = await this.parts.store.newest();
      if (latest === undefined || latest.record?.offset !== offset) return;
    }
    await this.acquire(nextOffset, endMs + this.options.handoverDelayMs + MAX_ORDER_TRANSIT_MS);
  }

  private async acquire(at: number, ordersFromMs: number): Promise<void> {
    const { clock, wallClock, store, log } = this.parts;
    const sentMs = clock.nowMs();
    const sentWallMs = wallClock();
    const appended = await store.append(at, this.holderId, false);
    if (appended !== true || this.stopped) return;
    this.tenure = { fence: at + 1, nextOffset: at + 1, sentMs, sentWallMs, ordersFromMs };
    const waitMs = Math.max(0, Math.round(ordersFromMs - clock.nowMs()));
    log.event('lease_taken', { fence: this.fence, first_order_in_ms: waitMs });
  }
}

export default Lease;
