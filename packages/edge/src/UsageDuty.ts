import { Counter } from 'prom-client';
import {
  type DutyLease,
  TrueTime,
  UsageCollector,
  UsageCounter,
  usageMessages,
  type UsagePorts,
  UsageReporter,
} from '@wisteriapath/duties';
import {
  comparePositions,
  type DutyApi,
  type DutyOptions,
  type EventLog,
  type Heartbeat,
  Lease,
  type MemberRecord,
  type Peers,
  readUsageDutyContent,
  type StorePosition,
  type UsageDutyContent,
  type UsageMessage,
  type WallClock,
} from '@wisteriapath/fleet';
import { type Clock, rendezvousOrder } from '@wisteriapath/model';
import type EdgeMetrics from './EdgeMetrics';

interface Dependencies {
  readonly clock: Clock;
  readonly wallClock: WallClock;
  readonly log: EventLog;
  readonly metrics: EdgeMetrics;
  readonly member: MemberRecord;
  readonly handoverDelayMs: number;
  readonly options: DutyOptions;
  readonly ports: UsagePorts;
  readonly api: DutyApi;
  readonly peers: Peers;
  /** Whether this instance holds the lease of its failure domain and does not stop: only such are candidates. */
  readonly isPlacer: () => boolean;
}

/** The instance that performs the duty, as its heartbeats say. */
interface Holder {
  readonly host: string;
  readonly position: StorePosition;
  readonly decidedThrough: number;
  readonly heardMs: number;
}

const SUBJECT = 'usage';
const SEND_INTERVAL_MS = 1_000;
/** Time without a heartbeat after which nothing is sent to a holder; placers send one every 400 ms at least. */
const HOLDER_TIMEOUT_MS = 1_500;
/** Silence after which an instance is not waited for: in large deployments a heartbeat reaches a placer once a second. */
const LIVE_TIMEOUT_MS = 3_000;
/** Time for which a silent instance counts among those of which more than half must be heard. */
const KNOWN_TIMEOUT_MS = 10_000;
const MS_PER_S = 1_000;

/** The part of one instance in the usage reports: it counts, sends its counts to the holder, and may be the holder. */
class UsageDuty {
  private readonly time: TrueTime;

  private readonly counter: UsageCounter;

  private readonly collector = new UsageCollector();

  private readonly lease: Lease;

  private readonly reporter: UsageReporter;

  private holder: Holder | undefined;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly deps: Dependencies) {
    const { clock, log: allLog, member, options, ports, metrics } = deps;
    const log: EventLog = {
      event: (name, fields) => allLog.event(name, { ...fields, subject: SUBJECT }),
    };
    this.time = new TrueTime(clock);
    this.counter = new UsageCounter(this.time, options.usageWindowMs);
    this.lease = new Lease(
      {
        machine: member.name,
        incarnation: member.incarnation,
        handoverDelayMs: deps.handoverDelayMs,
      },
      {
        clock,
        wallClock: deps.wallClock,
        store: ports.leaseStore,
        log,
        // Without the store there is no authority: a decision needs it anyway.
        lastContact: () => undefined,
        rank: () => this.rank,
      },
    );
    const windows = new Counter({
      name: 'wisteriapath_edge_usage_windows_total',
      help: 'Windows of usage by outcome, at the instance that holds the duty',
      labelNames: ['outcome'],
      registers: [metrics.registry],
    });
    this.reporter = new UsageReporter({
      clock,
      log,
      options,
      lease: this.lease satisfies DutyLease,
      journal: ports.journal,
      api: deps.api,
      time: this.time,
      collector: this.collector,
      liveInstances: () => this.liveInstances,
      onOutcome: (outcome) => windows.inc({ outcome }),
    });
    metrics.gauge('usage_duty_held', 'Whether this instance reports the usage of all', () =>
      Number(this.lease.isHeld()),
    );
    metrics.gauge(
      'true_time_error_seconds',
      'How far the true time as known here may be wrong',
      () => this.time.errorMs / MS_PER_S,
    );
    metrics.gauge(
      'usage_unplaced',
      'Requests that were counted in no window, as the true time was not known yet',
      () => this.counter.unplaced,
    );
  }

  /** Counts a request that an engine has just begun to answer. */
  record(workspace: string): void {
    this.counter.record(workspace);
  }

  /** What the heartbeats of this instance say of the duty; undefined if it is no candidate. */
  get content(): UsageDutyContent | undefined {
    if (!this.deps.isPlacer()) return undefined;
    const { bounds } = this.time;
    const position = this.lease.isCurrent ? this.lease.position : undefined;
    return {
      lease: position === undefined ? null : [position.era, position.offset],
      decidedThrough: this.reporter.decidedThrough,
      time: bounds === undefined ? null : [bounds.lowMs, bounds.highMs],
    };
  }

  /** The time of day here, which heartbeats tell the others. */
  get clockMs(): number {
    const clockMs = this.deps.wallClock();
    this.time.observeClock(this.deps.member.name, clockMs);
    return clockMs;
  }

  /** Learns from a peer's heartbeat who performs the duty, and the true time. */
  observeHeartbeat({ usageDuty, clockMs, member }: Heartbeat): void {
    if (clockMs !== undefined) this.time.observeClock(member.name, clockMs);
    const content = readUsageDutyContent(usageDuty);
    if (content === undefined) return;
    const { lease, decidedThrough, time } = content;
    if (time !== null) this.time.observePeer({ lowMs: time[0], highMs: time[1] });
    if (lease === null) return;
    const position = { era: lease[0], offset: lease[1] };
    this.lease.observeHolder(position);
    const { heardHolder } = this;
    if (heardHolder !== undefined && comparePositions(position, heardHolder.position) < 0) return;
    const heardMs = this.deps.clock.nowMs();
    this.holder = { host: member.host, position, decidedThrough, heardMs };
  }

  /** Takes the counts of another instance. */
  receive(message: UsageMessage): void {
    this.collector.merge(message);
  }

  /** Starts to send counts, and to perform the duty when its lease is held. */
  start(): void {
    this.deps.ports.followDates((answer) => this.time.observe(answer));
    this.timer = setInterval(() => this.tick(), SEND_INTERVAL_MS);
    void this.lease.run();
    void this.reporter.run();
  }

  /** Gives up the duty, so that a successor need not wait until the lease expires. */
  async release(): Promise<void> {
    this.reporter.stop();
    await this.lease.stop();
  }

  /** Sends what was counted so far, the window under way included, to all who may be the next holder. */
  stop(): void {
    clearInterval(this.timer);
    const hosts = new Set([...this.deps.peers.placers.values()].map(({ host }) => host));
    if (this.heardHolder !== undefined) hosts.add(this.heardHolder.host);
    this.counter.allWindows.forEach(({ window, counts }) => {
      this.messages(window, counts).forEach((message) => {
        hosts.forEach((host) => this.deps.peers.sendUsage(host, message));
      });
    });
  }

  private get heardHolder(): Holder | undefined {
    const sinceMs = this.deps.clock.nowMs() - HOLDER_TIMEOUT_MS;
    return this.holder !== undefined && this.holder.heardMs >= sinceMs ? this.holder : undefined;
  }

  private tick(): void {
    const { peers, options, isPlacer } = this.deps;
    const { nowMs } = this.time;
    if (nowMs !== undefined) this.collector.retain(Math.floor(nowMs / options.usageWindowMs));
    const mayHold = isPlacer() && this.liveInstances !== undefined;
    if (this.lease.isHolder && !mayHold) void this.lease.resign();
    const { isCurrent } = this.lease;
    const { heardHolder } = this;
    if (!isCurrent && heardHolder === undefined) return;
    const decided = isCurrent ? this.reporter.decidedThrough : heardHolder!.decidedThrough;
    this.counter.completeWindows(decided + 1).forEach(({ window, counts }) => {
      this.messages(window, counts).forEach((message) => {
        if (isCurrent) this.collector.merge(message);
        else peers.sendUsage(heardHolder!.host, message);
      });
    });
  }

  private messages(window: number, counts: ReadonlyMap<string, number>): readonly UsageMessage[] {
    const { name: instance, incarnation } = this.deps.member;
    return usageMessages({ instance, incarnation, window }, counts);
  }

  /** The instances that are live, this one included; undefined if not more than half of the known ones are heard. */
  private get liveInstances(): readonly string[] | undefined {
    const { peers, member } = this.deps;
    const known = peers.peersActiveWithin(KNOWN_TIMEOUT_MS).filter((peer) => !peer.isStopping);
    const heard = peers.peersActiveWithin(LIVE_TIMEOUT_MS).filter((peer) => !peer.isStopping);
    if ((1 + heard.length) * 2 < 1 + known.length) return undefined;
    return [member, ...heard.map((peer) => peer.member)].map(
      ({ name, incarnation }) => `${name}#${incarnation}`,
    );
  }

  private get rank(): number {
    const { isPlacer, member, peers } = this.deps;
    if (!isPlacer() || this.liveInstances === undefined) return -1;
    const names = [...peers.placers.values()].map(({ name }) => name);
    return rendezvousOrder(SUBJECT, [...new Set([...names, member.name])]).indexOf(member.name);
  }
}

export default UsageDuty;
