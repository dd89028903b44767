import type { Clock } from '@wisteriapath/model';
import { type Heartbeat, HeartbeatKind, type WorkspaceSpec } from '@wisteriapath/fleet';
import type PeerUsage from './PeerUsage';
import type RateBucket from './RateBucket';
import shareOfRate from './shareOfRate';

/** What is known of the peers that spend from the same limit. */
interface PeerShares {
  /** Sources whose reports are current. */
  readonly heard: readonly PeerUsage[];
  /** Sources that have fallen silent and may go on spending, each with its fraction of the rate. */
  readonly silent: readonly (readonly [usage: PeerUsage, share: number])[];
}

/** Fraction of the burst below which an instance may only spend from its own share. */
const SHARED_FLOOR_FRACTION = 0.5;
/** Fraction of the burst that the own shares of all instances may hold together. */
const OWN_BURST_FRACTION = 0.25;
/** Time until the spending of an instance reaches the others. */
const REPORT_DELAY_S = 0.2;
/** The same if a peer aggregates the reports and passes them on. */
const POOLED_REPORT_DELAY_S = 0.6;
/** Number of requests by which an instance may overdraw its own share while reports are aggregated. */
const MAX_DEBT_REQUESTS = 3;
/** Assumed demand at each other instance until its report arrives, as a fraction of the demand at this one. */
const OTHERS_DEMAND_FRACTION = 0.5;
const DEMAND_HALF_LIFE_MS = 1_500;
/** Silence after which a peer is assumed to spend nothing more of its share. */
const PEER_SPENDING_TIMEOUT_MS = 12_000;
/** Maximum age of a report whose rate counts as the current rate of the peer. */
const REPORT_MAX_AGE_MS = 2_000;
/** Time without a report, on top of the delay of reports, after which a peer may be cut off from this instance. */
const SILENCE_MARGIN_MS = 400;

const MS_PER_S = 1_000;
const MIN_WAIT_MS = 50;

const decay = (rate: number, elapsedMs: number): number =>
  rate * 0.5 ** (elapsedMs / DEMAND_HALF_LIFE_MS);

/**
 * Enforces the rate limits of workspaces over all instances without a remote call during a request.
 *
 * While at least half of a burst is left, every instance may spend from it, and reports its spending to the
 * others with the next heartbeat. Below that, each instance spends only its own share of the rate, which
 * follows demand. A peer that falls silent may be on the other side of a cut and go on spending: it is presumed to spend
 * the share that it had when all were last heard, until it reports what it did spend.
 */
class WorkspaceLimits {
  private readonly buckets = new Map<string, RateBucket>();

  private readonly peerUsages = new Map<string, Map<string, PeerUsage>>();

  /** Units that peers reported as their own spending since the start, by workspace. */
  private readonly reports = new Map<string, number>();

  /** Usage that this instance last reported to its peers, or to the one that aggregates it, by workspace. */
  private readonly lastReport = new Map<string, readonly [spent: number, rate: number]>();

  /** Whether peers aggregate the usage that others report. */
  private isPooled = false;

  private readonly startedMs: number;

  constructor(
    private readonly clock: Clock,
    /** Returns the number of instances that may be spending, including this one. */
    private readonly instances: () => number,
  ) {
    this.startedMs = clock.nowMs();
  }

  /** Spends `units` and returns 0 if they are admitted; otherwise returns the time in ms after which to retry. */
  admit(spec: WorkspaceSpec, units: number): number {
    if (spec.ratePerS <= 0) return 0;
    const bucket = this.refilled(spec);
    const demandBefore = this.demandOf(bucket);
    this.recordDemand(bucket, units);
    const share = this.share(spec.name, bucket);
    const unreported = this.unreportedSpending(bucket, demandBefore);
    const hasAmpleTokens = bucket.shared - units - unreported >= spec.burst * SHARED_FLOOR_FRACTION;
    if (!hasAmpleTokens && bucket.own <= 0) {
      const perS = Math.max(spec.ratePerS * share, 1);
      return Math.max(MIN_WAIT_MS, ((units - bucket.own) / perS) * MS_PER_S);
    }
    // Among many instances one request is a large part of an own share, so what all of them spend at once
    // is charged to their own shares, which must refill first.
    if (this.isPooled) bucket.own = Math.max(bucket.own - units, -MAX_DEBT_REQUESTS * units);
    else if (!hasAmpleTokens) bucket.own -= units;
    bucket.shared -= units;
    bucket.spent += units;
    return 0;
  }

  /** Returns the usage that a heartbeat reports: workspace, units admitted since the start, units a second. */
  usage(kind: HeartbeatKind): Heartbeat['usage'] {
    const tables: Record<HeartbeatKind, () => Heartbeat['usage']> = {
      [HeartbeatKind.Presence]: () => [],
      [HeartbeatKind.Own]: () => this.ownUsage,
      [HeartbeatKind.Pooled]: () => this.pooledUsage,
    };
    return tables[kind]();
  }

  private get ownUsage(): Heartbeat['usage'] {
    return [...this.buckets].map(
      ([name, bucket]) =>
        [name, Math.round(bucket.spent), Math.round(this.demandOf(bucket))] as const,
    );
  }

  /** Records the usage that was reported: it is not counted again as usage of others, and is what they know. */
  recordReport(usage: Heartbeat['usage']): void {
    usage.forEach(([name, spent, rate]) => this.lastReport.set(name, [spent, rate]));
  }

  /** Applies the usage in the heartbeat of a peer; `isOwnIncluded` if it contains what this instance reported. */
  applyHeartbeat({ member, kind, usage, isStopping }: Heartbeat, isOwnIncluded = false): void {
    const nowMs = this.clock.nowMs();
    const isPooled = kind === HeartbeatKind.Pooled;
    if (isPooled) this.isPooled = true;
    const source = isPooled ? `pool of ${member.failureDomain}` : member.name;
    const series = [member.name, member.incarnation, kind, isOwnIncluded].join(' ');
    usage.forEach(([name, total, totalRate]) => {
      const [ownSpent, ownRate] = (isOwnIncluded && this.lastReport.get(name)) || [0, 0];
      const spent = total - ownSpent;
      const rate = Math.max(0, totalRate - ownRate);
      const usages = this.peerUsages.get(name) ?? new Map<string, PeerUsage>();
      this.peerUsages.set(name, usages);
      const known = usages.get(source);
      const isSameSeries = known?.series === series;
      // Spending before the first report of a series is not known to be recent, unless the series comes from
      // a restarted process that reports only its own usage.
      const baseline = known === undefined || isPooled ? spent : 0;
      const delta = Math.max(0, spent - (isSameSeries ? known.spent : baseline));
      const bucket = this.buckets.get(name);
      if (bucket !== undefined) bucket.shared -= delta - (known?.presumed ?? 0);
      if (kind === HeartbeatKind.Own) this.reports.set(name, (this.reports.get(name) ?? 0) + delta);
      const maxSpent = isSameSeries ? Math.max(known.spent, spent) : spent;
      usages.set(source, {
        series,
        kind,
        spent: maxSpent,
        rate,
        reportedAtMs: nowMs,
        presumed: 0,
        presumedToMs: nowMs,
        isStopping: isStopping && !isPooled,
      });
      if (bucket !== undefined) this.agreeShares(name, source, bucket);
    });
  }

  /** The usage of this instance plus that of all instances that report to it. */
  private get pooledUsage(): Heartbeat['usage'] {
    const sums = new Map(this.ownUsage.map(([name, spent, rate]) => [name, { spent, rate }]));
    const sinceMs = this.clock.nowMs() - REPORT_MAX_AGE_MS;
    this.reports.forEach((reported, name) => {
      const { spent, rate } = sums.get(name) ?? { spent: 0, rate: 0 };
      const reporters = [...(this.peerUsages.get(name)?.values() ?? [])].filter(
        ({ reportedAtMs, kind }) => reportedAtMs >= sinceMs && kind === HeartbeatKind.Own,
      );
      const rates = reporters.reduce((sum, reporter) => sum + reporter.rate, 0);
      sums.set(name, { spent: spent + Math.round(reported), rate: rate + rates });
    });
    return [...sums].map(([name, { spent, rate }]) => [name, spent, rate] as const);
  }

  /** Returns the units that the other instances may have spent and not reported yet. */
  private unreportedSpending(bucket: RateBucket, demandBefore: number): number {
    // Among many instances a single request says nothing about the demand at the others.
    const [demand, reportDelayS] = this.isPooled
      ? [demandBefore, POOLED_REPORT_DELAY_S]
      : [this.demandOf(bucket), REPORT_DELAY_S];
    return demand * reportDelayS * (this.instances() - 1) * OTHERS_DEMAND_FRACTION;
  }

  /** Returns the fraction of the rate that this instance may spend on its own. */
  private share(name: string, bucket: RateBucket): number {
    const { heard, silent } = this.peerShares(name, bucket);
    const silentShare = silent.reduce((sum, [, share]) => sum + share, 0);
    const own = this.demandOf(bucket);
    const total = heard.reduce((sum, { rate }) => sum + rate, own);
    const sharers = Math.max(1, this.instances() - silent.length);
    return (
      Math.max(0, 1 - silentShare) *
      shareOfRate({ demand: own, total, sharers, instances: this.instances() })
    );
  }

  /** Tells the peers that are heard from those that have fallen silent. */
  private peerShares(name: string, { agreedShares }: RateBucket): PeerShares {
    const nowMs = this.clock.nowMs();
    const reportDelayS = this.isPooled ? POOLED_REPORT_DELAY_S : REPORT_DELAY_S;
    const heardSinceMs = nowMs - reportDelayS * MS_PER_S - SILENCE_MARGIN_MS;
    const spending = this.spendingPeers(name);
    const isHeard = ({ reportedAtMs }: PeerUsage) => reportedAtMs >= heardSinceMs;
    const even = 1 / Math.max(1, this.instances());
    return {
      heard: spending.map(([, usage]) => usage).filter(isHeard),
      silent: spending
        .filter(([, usage]) => !isHeard(usage) && !usage.isStopping)
        .map(([source, usage]) => [usage, agreedShares.get(source) ?? even] as const),
    };
  }

  /** Works out the shares anew once every source has reported, so that both sides of a cut last did it on the same reports. */
  private agreeShares(name: string, source: string, bucket: RateBucket): void {
    bucket.reported.add(source);
    const spending = this.spendingPeers(name);
    if (!spending.every(([other]) => bucket.reported.has(other))) return;
    bucket.reported.clear();
    // What the peers know of this instance, so that all of them agree.
    const own = this.lastReport.get(name)?.[1] ?? this.demandOf(bucket);
    const total = spending.reduce((sum, [, { rate }]) => sum + rate, own);
    const instances = Math.max(1, this.instances());
    Object.assign(bucket, {
      agreedShares: new Map(
        spending.map(([other, { rate: demand }]) => [
          other,
          shareOfRate({ demand, total, sharers: instances, instances }),
        ]),
      ),
    });
  }

  /** The sources that may be spending. */
  private spendingPeers(name: string): readonly (readonly [source: string, usage: PeerUsage])[] {
    const sinceMs = this.clock.nowMs() - PEER_SPENDING_TIMEOUT_MS;
    return [...(this.peerUsages.get(name) ?? [])].filter(
      ([, { reportedAtMs }]) => reportedAtMs >= sinceMs,
    );
  }

  private demandOf(bucket: RateBucket): number {
    return decay(bucket.demand, this.clock.nowMs() - bucket.demandAtMs);
  }

  private recordDemand(bucket: RateBucket, units: number): void {
    const perUnit = (Math.LN2 * MS_PER_S) / DEMAND_HALF_LIFE_MS;
    const demand = this.demandOf(bucket) + units * perUnit;
    Object.assign(bucket, { demand, demandAtMs: this.clock.nowMs() });
  }

  /** What peers spent before the bucket was created is not in it. */
  private presumeFromNowOn(name: string): void {
    const presumedToMs = this.clock.nowMs();
    this.peerUsages.get(name)?.forEach((usage) => Object.assign(usage, { presumedToMs }));
  }

  /** Returns what silent peers are presumed to have spent since this was last asked. */
  private presumeSpending({ ratePerS }: WorkspaceSpec, silent: PeerShares['silent']): number {
    const nowMs = this.clock.nowMs();
    return silent.reduce((sum, [peer, share]) => {
      const presumed = (ratePerS * share * (nowMs - peer.presumedToMs)) / MS_PER_S;
      Object.assign(peer, { presumed: peer.presumed + presumed, presumedToMs: nowMs });
      return sum + presumed;
    }, 0);
  }

  /** Returns the bucket of a workspace, refilled up to now. */
  private refilled(spec: WorkspaceSpec): RateBucket {
    const nowMs = this.clock.nowMs();
    const known = this.buckets.get(spec.name);
    if (known === undefined) {
      // Spending before the start of this process is unknown, so the burst accumulates from zero.
      const accumulated = (spec.ratePerS * (nowMs - this.startedMs)) / MS_PER_S;
      const bucket = {
        shared: Math.min(spec.burst, accumulated),
        own: 0,
        refilledAtMs: nowMs,
        spent: 0,
        demand: 0,
        demandAtMs: nowMs,
        agreedShares: new Map(),
        reported: new Set<string>(),
      };
      this.buckets.set(spec.name, bucket);
      this.presumeFromNowOn(spec.name);
      return bucket;
    }
    const elapsedS = (nowMs - known.refilledAtMs) / MS_PER_S;
    const { silent } = this.peerShares(spec.name, known);
    const share = this.share(spec.name, known);
    known.refilledAtMs = nowMs;
    const presumed = this.presumeSpending(spec, silent);
    known.shared = Math.min(spec.burst, known.shared + spec.ratePerS * elapsedS - presumed);
    const maxOwnTokens = spec.burst * OWN_BURST_FRACTION * share;
    known.own = Math.min(maxOwnTokens, known.own + spec.ratePerS * share * elapsedS);
    return known;
  }
}

export default WorkspaceLimits;
