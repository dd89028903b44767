import type { Clock } from '@wisteriapath/model';
import type Authority from './Authority';
import type EventLog from './EventLog';
import type LeaseStore from './LeaseStore';
import type WallClock from './WallClock';

interface Options {
  /** Name of the machine, the same in each life of its process. */
  readonly machine: string;
  readonly incarnation: string;
  /** Time that must pass between the orders of two holders. */
  readonly handoverDelayMs: number;
}

interface Parts {
  readonly clock: Clock;
  readonly wallClock: WallClock;
  readonly store: LeaseStore;
  readonly log: EventLog;
  /** When the newest beat was sent that every peer is known to have heard, on both clocks. */
  readonly acknowledgedHeartbeat: () =>
    { readonly sentMs: number; readonly sentWallMs: number } | undefined;
  /** Place of this machine among the candidates; 0 is first, negative if it is no candidate. */
  readonly rank: () => number;
}

interface Tenure {
  readonly fence: number;
  /** Offset that the next renewal must meet. */
  nextOffset: number;
  /** When the renewal in force was sent, on both clocks. */
  sentMs: number;
  sentWallMs: number;
  readonly ordersFromMs: number;
}

/** Time from the sending of a renewal for which it gives authority. */
const VALID_MS = 1_600;
const RENEW_EVERY_MS = 600;
/** Silence of the holder after which others look at the store. */
const SILENCE_MS = 900;
/** Time from a beat that every peer heard for which it gives authority while the store is away. */
const HEARD_VALID_MS = 700;
/** Longest time without a renewal for which beats alone give authority. */
const WITHOUT_STORE_MS = 20_000;
/** Time from the start of a process before which it takes no lease from another machine. */
const YOUNG_MS = 3_000;
const RANK_STEP_MS = 250;
const POLL_MS = 100;
/** Pause between calls while the store does not answer. */
const AWAY_RETRY_MS = 300;
/** Difference between both clocks that shows a suspension or a jump. */
const CLOCK_TOLERANCE_MS = 250;
/** Flight of an order that was sent under the last moment of a lease. */
const FLIGHT_MS = 150;

/**
 * The authority to give orders, held by one machine at a time through conditional appends.
 *
 * It ends `VALID_MS` after the renewal in force was sent, on a clock that is checked against the time
 * of day, because the monotonic clock does not count a suspension. While the store is away it goes on
 * as long as every peer hears the holder, because a peer that hears it does not take over. A successor
 * waits until the authority of the holder before it has ended, and `turnMs` more before its first order.
 */
class Lease implements Authority {
  private tenure: Tenure | undefined;

  /** Newest record known of another holder, and when it was last known to be the newest. */
  private observed: { offset: number; atMs: number } | undefined;

  private heardMs: number;

  private readonly startedMs: number;

  private stopped = false;

  constructor(
    private readonly options: Options,
    private readonly parts: Parts,
  ) {
    this.heardMs = parts.clock.nowMs();
    this.startedMs = this.heardMs;
  }

  get holder(): string {
    return this.options.machine;
  }

  get fence(): number {
    return this.tenure?.fence ?? 0;
  }

  /** Whether this machine has the lease, even if it may not give orders at this moment. */
  get isHolder(): boolean {
    return this.tenure !== undefined;
  }

  /** Whether authority begins within `withinMs`. */
  isHeldWithin(withinMs: number): boolean {
    return this.isCurrent && this.parts.clock.nowMs() + withinMs >= this.tenure!.ordersFromMs;
  }

  isHeld(): boolean {
    return this.isCurrent && this.parts.clock.nowMs() >= this.tenure!.ordersFromMs;
  }

  /** Whether the renewal in force still gives authority, be it only for orders that come later. */
  get isCurrent(): boolean {
    const { tenure } = this;
    if (tenure === undefined || this.stopped) return false;
    if (this.isWithin(tenure, VALID_MS)) return true;
    const heard = this.parts.acknowledgedHeartbeat();
    const isRenewedLately = this.parts.clock.nowMs() - tenure.sentMs < WITHOUT_STORE_MS;
    return isRenewedLately && heard !== undefined && this.isWithin(heard, HEARD_VALID_MS);
  }

  /** Whether less than `limitMs` has passed on both clocks. */
  private isWithin(
    { sentMs, sentWallMs }: { readonly sentMs: number; readonly sentWallMs: number },
    limitMs: number,
  ): boolean {
    const steadyMs = this.parts.clock.nowMs() - sentMs;
    const wallMs = this.parts.wallClock() - sentWallMs;
    return steadyMs < limitMs && Math.abs(wallMs - steadyMs) < CLOCK_TOLERANCE_MS;
  }

  /** Takes in that a peer says it holds the lease by the record at `offset`. */
  heard(offset: number): void {
    this.heardMs = this.parts.clock.nowMs();
    if (offset > (this.observed?.offset ?? -1)) {
      this.observed = { offset, atMs: this.heardMs };
    }
  }

  /** Offset of the record in force, for the peers. */
  get offset(): number {
    return (this.tenure?.nextOffset ?? 0) - 1;
  }

  /** Renews, or takes over from a silent holder, until stopped. */
  async run(): Promise<void> {
    const { clock } = this.parts;
    while (!this.stopped) {
      if (this.tenure !== undefined) {
        await this.renew(this.tenure);
        await this.sleepUntilRenewal();
      } else {
        await this.considerTakeover();
        await clock.sleep(POLL_MS);
      }
    }
  }

  /** Gives the lease up, so that a successor need not wait for its end. */
  async stop(): Promise<void> {
    const { tenure } = this;
    this.stopped = true;
    this.tenure = undefined;
    if (tenure === undefined) return;
    const released = await this.parts.store.append(tenure.nextOffset, this.identity, true);
    this.parts.log.event('lease_released', { fence: tenure.fence, stored: String(released) });
  }

  private get identity(): string {
    return `${this.options.machine}#${this.options.incarnation}`;
  }

  private async sleepUntilRenewal(): Promise<void> {
    const { clock, wallClock } = this.parts;
    const { tenure } = this;
    if (tenure === undefined) return;
    while (!this.stopped) {
      const steadyMs = clock.nowMs() - tenure.sentMs;
      const skewMs = Math.abs(wallClock() - tenure.sentWallMs - steadyMs);
      if (steadyMs >= RENEW_EVERY_MS || skewMs >= CLOCK_TOLERANCE_MS) return;
      await clock.sleep(Math.min(POLL_MS, RENEW_EVERY_MS - steadyMs));
    }
  }

  private async renew(tenure: Tenure): Promise<void> {
    const { clock, wallClock, store, log } = this.parts;
    const sentMs = clock.nowMs();
    const sentWallMs = wallClock();
    const appended = await store.append(tenure.nextOffset, this.identity, false);
    if (this.stopped) return;
    if (appended === true) {
      Object.assign(tenure, { sentMs, sentWallMs, nextOffset: tenure.nextOffset + 1 });
      return;
    }
    const newest = await store.newest();
    if (newest === undefined) {
      log.event('lease_renewal_unknown', { fence: tenure.fence });
      await clock.sleep(AWAY_RETRY_MS);
      return;
    }
    if (newest.record?.holder === this.identity) {
      // The append took effect, or none did; authority still counts from what was sent before it.
      const { nextOffset } = newest;
      const isStored = nextOffset > tenure.nextOffset;
      Object.assign(tenure, isStored ? { sentMs, sentWallMs, nextOffset } : { nextOffset });
      return;
    }
    log.event('lease_lost', { fence: tenure.fence, holder: newest.record?.holder ?? '' });
    this.tenure = undefined;
    this.heardMs = clock.nowMs();
  }

  private async considerTakeover(): Promise<void> {
    const { clock, store } = this.parts;
    const rank = this.parts.rank();
    const silentMs = clock.nowMs() - this.heardMs;
    if (rank < 0 || silentMs < SILENCE_MS + rank * RANK_STEP_MS) return;
    const newest = await store.newest();
    if (newest === undefined || this.stopped) return;
    const { record, nextOffset } = newest;
    const machine = record?.holder.split('#')[0];
    if (record === null || machine === this.options.machine) {
      await this.take(nextOffset, clock.nowMs());
    } else if (record.released) {
      await this.take(nextOffset, clock.nowMs() + this.options.handoverDelayMs);
    } else {
      await this.takeFromSilent(record.offset, nextOffset);
    }
  }

  /** Takes over once the authority of a holder who cannot be heard has ended. */
  private async takeFromSilent(offset: number, nextOffset: number): Promise<void> {
    const { clock } = this.parts;
    const nowMs = clock.nowMs();
    if (this.observed === undefined || offset > this.observed.offset) {
      this.observed = { offset, atMs: nowMs };
    }
    if (nowMs - this.startedMs < YOUNG_MS) return;
    const endMs = Math.max(this.observed.atMs + VALID_MS, this.heardMs + HEARD_VALID_MS);
    if (nowMs < endMs) {
      await clock.sleep(endMs - nowMs);
      const again = await this.parts.store.newest();
      if (again === undefined || again.record?.offset !== offset) return;
    }
    await this.take(nextOffset, endMs + this.options.handoverDelayMs + FLIGHT_MS);
  }

  private async take(at: number, ordersFromMs: number): Promise<void> {
    const { clock, wallClock, store, log } = this.parts;
    const sentMs = clock.nowMs();
    const sentWallMs = wallClock();
    const appended = await store.append(at, this.identity, false);
    if (appended !== true || this.stopped) return;
    this.tenure = { fence: at + 1, nextOffset: at + 1, sentMs, sentWallMs, ordersFromMs };
    const waitMs = Math.max(0, Math.round(ordersFromMs - clock.nowMs()));
    log.event('lease_taken', { fence: this.fence, first_order_in_ms: waitMs });
  }
}

export default Lease;
