import type { Clock } from '@wisteriapath/model';
import ClockMedian from './ClockMedian';
import type DatedAnswer from './DatedAnswer';

/** Between which times the true time lies, in milliseconds since 1970-01-01. */
interface TimeBounds {
  readonly lowMs: number;
  readonly highMs: number;
}

/** A bound of the offset between true time and the monotonic clock, and when it was learned. */
interface OffsetBound {
  readonly offsetMs: number;
  readonly atMs: number;
}

/** Resolution of a date, and how late a server that keeps the text of its date may renew it. */
const DATE_SPAN_MS = 1_000 + 50;
/** Rate by which a monotonic clock may run wrong. */
const MAX_DRIFT = 0.000_1;
/** Answers in a row that contradict the bounds and by which they are taken as wrong: one may be from a server with a wrong clock. */
const MAX_CONTRADICTIONS = 3;
/** Time that the fastest datagram of a peer takes at most. */
const FASTEST_TRANSIT_MS = 5;
/** How far the median of the instances' clocks may be off, where the store does not date its answers. */
const CLOCK_MEDIAN_ERROR_MS = 200;
/** Age up to which the time of a peer is used; a suspension of this machine is then forgotten. */
const PEER_MAX_AGE_MS = 20_000;

/**
 * The true time, by the dates of the store's answers. Each answer gives two bounds of the offset between true time and
 * the monotonic clock; many answers at different fractions of a second narrow them to some milliseconds. The time of day
 * of the machine is not used, as it may jump. An instance that calls the store rarely takes the bounds of a peer, less
 * the time of the fastest datagram. Where the store does not date its answers, the median of the instances' clocks is taken.
 */
class TrueTime {
  private low: OffsetBound | undefined;

  private high: OffsetBound | undefined;

  private contradictions = 0;

  /** The highest lower bound that a peer gave, with the width of its bounds. */
  private peer: (OffsetBound & { readonly widthMs: number }) | undefined;

  private readonly clocks: ClockMedian;

  constructor(private readonly clock: Clock) {
    this.clocks = new ClockMedian(clock);
  }

  /** Learns the time of day of an instance, this one included, from a message that has just arrived. */
  observeClock(instance: string, timeMs: number): void {
    this.clocks.observe(instance, timeMs);
  }

  /** Learns from an answer of the store. */
  observe({ sentMs, receivedMs, dateMs }: DatedAnswer): void {
    const lowMs = dateMs - receivedMs;
    const highMs = dateMs + DATE_SPAN_MS - sentMs;
    if (!Number.isFinite(lowMs) || !Number.isFinite(highMs)) return;
    const known = this.ownOffsets;
    const isContradiction = known !== undefined && (lowMs > known.highMs || highMs < known.lowMs);
    this.contradictions = isContradiction ? this.contradictions + 1 : 0;
    if (isContradiction && this.contradictions < MAX_CONTRADICTIONS) return;
    const kept = isContradiction ? undefined : known;
    if (isContradiction) this.peer = undefined;
    this.contradictions = 0;
    const atMs = this.clock.nowMs();
    this.low = { offsetMs: Math.max(lowMs, kept?.lowMs ?? -Infinity), atMs };
    this.high = { offsetMs: Math.min(highMs, kept?.highMs ?? Infinity), atMs };
  }

  /** Learns from a peer that stated these bounds when it sent a datagram that has just arrived. */
  observePeer({ lowMs, highMs }: TimeBounds): void {
    const nowMs = this.clock.nowMs();
    const widthMs = highMs - lowMs;
    if (!Number.isFinite(lowMs) || !(widthMs >= 0)) return;
    const offsetMs = lowMs - nowMs;
    const own = this.ownOffsets;
    if (own !== undefined && (offsetMs > own.highMs || offsetMs + widthMs < own.lowMs)) return;
    const { peer } = this;
    const isBetter =
      peer === undefined ||
      nowMs - peer.atMs > PEER_MAX_AGE_MS ||
      offsetMs + widthMs / 2 > peer.offsetMs + peer.widthMs / 2 ||
      widthMs < peer.widthMs / 2;
    if (isBetter) this.peer = { offsetMs, widthMs, atMs: nowMs };
  }

  /** Between which times the true time lies now; undefined if nothing is known. */
  get bounds(): TimeBounds | undefined {
    const nowMs = this.clock.nowMs();
    const own = this.ownOffsets;
    const offsets = own === undefined ? this.undatedOffsets : this.narrowedByPeer(own);
    if (offsets === undefined) return undefined;
    return { lowMs: nowMs + offsets.lowMs, highMs: nowMs + offsets.highMs };
  }

  /** The most likely true time; undefined if nothing is known. */
  get nowMs(): number | undefined {
    const { bounds } = this;
    return bounds && (bounds.lowMs + bounds.highMs) / 2;
  }

  /** How far the most likely time can be from the true one; Infinity if nothing is known. */
  get errorMs(): number {
    const { bounds } = this;
    return bounds === undefined ? Infinity : (bounds.highMs - bounds.lowMs) / 2;
  }

  /** The bounds from this machine's own calls, as of now. */
  private get ownOffsets(): TimeBounds | undefined {
    const { low, high } = this;
    if (low === undefined || high === undefined) return undefined;
    const nowMs = this.clock.nowMs();
    const lowMs = low.offsetMs - (nowMs - low.atMs) * MAX_DRIFT;
    const highMs = high.offsetMs + (nowMs - high.atMs) * MAX_DRIFT;
    return { lowMs, highMs };
  }

  /** The bounds without a dated answer. The median goes first: instances that took each other's bounds would drift together. */
  private get undatedOffsets(): TimeBounds | undefined {
    const { offsetMs } = this.clocks;
    if (offsetMs === undefined) return this.narrowedByPeer(undefined);
    return { lowMs: offsetMs - CLOCK_MEDIAN_ERROR_MS, highMs: offsetMs + CLOCK_MEDIAN_ERROR_MS };
  }

  private narrowedByPeer(own: TimeBounds | undefined): TimeBounds | undefined {
    const { peer } = this;
    if (peer === undefined) return own;
    const ageMs = this.clock.nowMs() - peer.atMs;
    if (ageMs > PEER_MAX_AGE_MS) return own;
    const lowMs = peer.offsetMs - ageMs * MAX_DRIFT;
    const highMs = peer.offsetMs + peer.widthMs + FASTEST_TRANSIT_MS + ageMs * MAX_DRIFT;
    const narrowed = {
      lowMs: Math.max(lowMs, own?.lowMs ?? -Infinity),
      highMs: Math.min(highMs, own?.highMs ?? Infinity),
    };
    return narrowed.lowMs <= narrowed.highMs ? narrowed : own;
  }
}

export default TrueTime;
