import type { Clock } from '@wisteriapath/model';
import { type Heartbeat, HeartbeatKind, type WorkspaceSpec } from '@wisteriapath/fleet';

interface Level {
  /** What is left over all instances, as far as this one knows. */
  shared: number;
  /** What this instance may spend on its own when little is left over all. */
  own: number;
  atMs: number;
  /** Units admitted here since the start. */
  spent: number;
  /** Units asked for here, a second. */
  demand: number;
  demandAtMs: number;
}

interface PeerUse {
  /** Changes where the count begins anew. */
  readonly series: string;
  readonly kind: HeartbeatKind;
  spent: number;
  /** Units a second. */
  rate: number;
  atMs: number;
}

/** Part of the burst that any instance may draw on without a share of its own. */
const SHARED_FLOOR = 0.5;
/** Part of the burst that the instances' own shares may hold together. */
const OWN_BURST = 0.25;
/** Time for which the others do not yet know what was spent. */
const UNTOLD_S = 0.2;
/** The same where a peer gathers it and tells it on. */
const UNTOLD_POOLED_S = 0.6;
/** Requests for which an instance among many may be in debt to its own share. */
const MOST_DEBT_REQUESTS = 3;
/** What each of the others may be asked for meanwhile, beside what is asked for here. */
const OTHERS_PART = 0.5;
/** Part of the rate that is divided evenly; the rest follows demand. */
const EVEN_PART = 0.2;
/** Instances up to which it is that much; with more, the shares of those without callers would add up. */
const EVEN_INSTANCES = 7;
const DEMAND_HALF_LIFE_MS = 1_500;
/** Age up to which a silent peer may still be spending its share. */
const PEER_COUNTS_MS = 12_000;
/** Age up to which the use that a peer reported counts as its rate now. */
const REPORT_COUNTS_MS = 2_000;

const MS_PER_S = 1_000;
const LEAST_WAIT_MS = 50;

const decay = (rate: number, elapsedMs: number): number =>
  rate * 0.5 ** (elapsedMs / DEMAND_HALF_LIFE_MS);

/**
 * Keeps the rates of workspaces over all instances without a call on the path of a request.
 *
 * While much of a burst is left, every instance may draw on it; what it drew reaches the others with
 * the next beat. Once less than half is left, each spends only its share of the rate, which follows
 * demand.
 */
class WorkspaceLimits {
  private readonly levels = new Map<string, Level>();

  private readonly peers = new Map<string, Map<string, PeerUse>>();

  /** Units that peers reported as their own, by workspace, since the start. */
  private readonly reported = new Map<string, number>();

  /** What this instance last told the peer that gathers it. */
  private readonly told = new Map<string, readonly [spent: number, rate: number]>();

  private isPooled = false;

  private readonly startedMs: number;

  constructor(
    private readonly clock: Clock,
    /** Instances that may be spending, this one included. */
    private readonly instances: () => number,
  ) {
    this.startedMs = clock.nowMs();
  }

  /** Spends `units`; answers with 0 if admitted, else with the time after which to come back. */
  admit(spec: WorkspaceSpec, units: number): number {
    if (spec.ratePerS <= 0) return 0;
    const level = this.refilled(spec);
    const demandBefore = this.demandOf(level);
    this.noteDemand(level, units);
    const share = this.share(spec.name, level);
    const untold = this.untold(level, demandBefore);
    const isPlenty = level.shared - units - untold >= spec.burst * SHARED_FLOOR;
    if (!isPlenty && level.own <= 0) {
      const perS = Math.max(spec.ratePerS * share, 1);
      return Math.max(LEAST_WAIT_MS, ((units - level.own) / perS) * MS_PER_S);
    }
    // One request is much of the share of one of many: what they all drew at once they must earn first.
    if (this.isPooled) level.own = Math.max(level.own - units, -MOST_DEBT_REQUESTS * units);
    else if (!isPlenty) level.own -= units;
    level.shared -= units;
    level.spent += units;
    return 0;
  }

  /** What a beat tells of the use of limits: workspace, units admitted since the start, units a second. */
  usage(kind: HeartbeatKind): Heartbeat['usage'] {
    const tables: Record<HeartbeatKind, () => Heartbeat['usage']> = {
      [HeartbeatKind.Presence]: () => [],
      [HeartbeatKind.Own]: () => this.own,
      [HeartbeatKind.Pooled]: () => this.pooled,
    };
    return tables[kind]();
  }

  private get own(): Heartbeat['usage'] {
    return [...this.levels].map(
      ([name, level]) => [name, Math.round(level.spent), Math.round(this.demandOf(level))] as const,
    );
  }

  /** Notes what was told to the peer that gathers it, so that it is not taken for the use of others. */
  noteTold(usage: Heartbeat['usage']): void {
    usage.forEach(([name, spent, rate]) => this.told.set(name, [spent, rate]));
  }

  /** Takes in what a peer told; `isOurs` if what it gathered includes what this instance told it. */
  absorb({ member, kind, usage }: Heartbeat, isOurs = false): void {
    const nowMs = this.clock.nowMs();
    const isPooled = kind === HeartbeatKind.Pooled;
    if (isPooled) this.isPooled = true;
    const source = isPooled ? `pool of ${member.failureDomain}` : member.name;
    const series = [member.name, member.incarnation, kind, isOurs].join(' ');
    usage.forEach(([name, total, totalRate]) => {
      const [toldSpent, toldRate] = (isOurs && this.told.get(name)) || [0, 0];
      const spent = total - toldSpent;
      const rate = Math.max(0, totalRate - toldRate);
      const uses = this.peers.get(name) ?? new Map<string, PeerUse>();
      this.peers.set(name, uses);
      const known = uses.get(source);
      const isSame = known?.series === series;
      // What was spent before a series was first heard is not known to be recent, but for a process
      // that has started anew and tells only of itself.
      const before = known === undefined || isPooled ? spent : 0;
      const delta = Math.max(0, spent - (isSame ? known.spent : before));
      const level = this.levels.get(name);
      if (level !== undefined) level.shared -= delta;
      if (kind === HeartbeatKind.Own)
        this.reported.set(name, (this.reported.get(name) ?? 0) + delta);
      const most = isSame ? Math.max(known.spent, spent) : spent;
      uses.set(source, { series, kind, spent: most, rate, atMs: nowMs });
    });
  }

  /** This instance's use and that of all that report to it. */
  private get pooled(): Heartbeat['usage'] {
    const sums = new Map(this.own.map(([name, spent, rate]) => [name, { spent, rate }]));
    const sinceMs = this.clock.nowMs() - REPORT_COUNTS_MS;
    this.reported.forEach((reported, name) => {
      const { spent, rate } = sums.get(name) ?? { spent: 0, rate: 0 };
      const reporters = [...(this.peers.get(name)?.values() ?? [])].filter(
        ({ atMs, kind }) => atMs >= sinceMs && kind === HeartbeatKind.Own,
      );
      const rates = reporters.reduce((sum, use) => sum + use.rate, 0);
      sums.set(name, { spent: spent + Math.round(reported), rate: rate + rates });
    });
    return [...sums].map(([name, { spent, rate }]) => [name, spent, rate] as const);
  }

  /** Units that the others may have spent and not told of yet. */
  private untold(level: Level, demandBefore: number): number {
    // Among many instances one request alone says nothing of what the others are asked for.
    const [demand, untoldS] = this.isPooled
      ? [demandBefore, UNTOLD_POOLED_S]
      : [this.demandOf(level), UNTOLD_S];
    return demand * untoldS * (this.instances() - 1) * OTHERS_PART;
  }

  private share(name: string, level: Level): number {
    const sinceMs = this.clock.nowMs() - PEER_COUNTS_MS;
    const peers = [...(this.peers.get(name)?.values() ?? [])].filter(({ atMs }) => atMs >= sinceMs);
    const own = this.demandOf(level);
    const total = peers.reduce((sum, { rate }) => sum + rate, own);
    const instances = Math.max(1, this.instances());
    const even = 1 / instances;
    const evenPart = EVEN_PART * Math.min(1, EVEN_INSTANCES / instances);
    const byDemand = total > 0 ? own / total : even;
    return evenPart * even + (1 - evenPart) * byDemand;
  }

  private demandOf(level: Level): number {
    return decay(level.demand, this.clock.nowMs() - level.demandAtMs);
  }

  private noteDemand(level: Level, units: number): void {
    const perUnit = (Math.LN2 * MS_PER_S) / DEMAND_HALF_LIFE_MS;
    const demand = this.demandOf(level) + units * perUnit;
    Object.assign(level, { demand, demandAtMs: this.clock.nowMs() });
  }

  private refilled(spec: WorkspaceSpec): Level {
    const nowMs = this.clock.nowMs();
    const known = this.levels.get(spec.name);
    if (known === undefined) {
      // What was spent before this process started is not known, so a burst is saved up anew.
      const savedUp = (spec.ratePerS * (nowMs - this.startedMs)) / MS_PER_S;
      const level = {
        shared: Math.min(spec.burst, savedUp),
        own: 0,
        atMs: nowMs,
        spent: 0,
        demand: 0,
        demandAtMs: nowMs,
      };
      this.levels.set(spec.name, level);
      return level;
    }
    const elapsedS = (nowMs - known.atMs) / MS_PER_S;
    const share = this.share(spec.name, known);
    known.atMs = nowMs;
    known.shared = Math.min(spec.burst, known.shared + spec.ratePerS * elapsedS);
    const ownMost = spec.burst * OWN_BURST * share;
    known.own = Math.min(ownMost, known.own + spec.ratePerS * share * elapsedS);
    return known;
  }
}

export default WorkspaceLimits;
