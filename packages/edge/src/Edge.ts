import type { Clock } from '@wisteriapath/model';
import {
  type HeartbeatContent,
  HeartbeatKind,
  DemandAggregator,
  type EventLog,
  Lease,
  Peers,
  type DemandReport,
  Placer,
  type StoreFollower,
  TargetTable,
} from '@wisteriapath/fleet';
import CallerListener from './CallerListener';
import ColdGate from './ColdGate';
import CrashCounts from './CrashCounts';
import DemandTeller from './DemandTeller';
import EdgeMetrics from './EdgeMetrics';
import type EdgeOptions from './EdgeOptions';
import type EdgeParts from './EdgeParts';
import type EdgePorts from './EdgePorts';
import HttpListener from './HttpListener';
import ModelRates from './ModelRates';
import RepeatBudget from './RepeatBudget';
import StoreView from './StoreView';
import TargetConnections from './TargetConnections';
import TargetLoads from './TargetLoads';
import WorkspaceLimits from './WorkspaceLimits';
import candidateRank from './candidateRank';
import connectionShare from './connectionShare';
import findPeers from './findPeers';
import isFirstReader from './isFirstReader';
import serveMetrics from './serveMetrics';
import watchInstance from './watchInstance';

const BEAT_EVERY_MS = 200;
/** Age up to which a silent peer may still be spending shared limits. */
const PEER_COUNTS_MS = 12_000;
const STORE_LOADS_AT_ONCE = 4;
/** Time for which new connections are taken after the order to stop, until the balancer knows. */
const BALANCER_LAG_MS = 2_600;
/** Part of the grace that is left unused, so that the process ends by itself. */
const GRACE_MARGIN_MS = 500;
const STOP_LOOK_MS = 50;

/** One entry instance in front of targets that register themselves. */
class Edge {
  private readonly view: StoreView;

  private isStopping = false;

  private lastSendAtMs = Infinity;

  private listeners: HttpListener[] = [];

  private follower: StoreFollower | undefined;

  private readonly metrics = new EdgeMetrics();

  private readonly table: TargetTable;

  private readonly demand: DemandAggregator;

  private readonly demandTeller: DemandTeller;

  private readonly rates: ModelRates;

  private readonly loads: TargetLoads;

  private readonly crashes = new CrashCounts();

  private readonly limits: WorkspaceLimits;

  private readonly peers: Peers;

  private readonly lease: Lease;

  private readonly placer: Placer;

  private readonly parts: EdgeParts;

  private readonly callers: CallerListener;

  constructor(
    private readonly options: EdgeOptions,
    private readonly ports: EdgePorts,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    this.table = new TargetTable(clock);
    this.view = new StoreView({
      table: this.table,
      log,
      changed: ({ limits }) => this.callers.setLimits(limits),
      forgotten: () => this.forgetTargets(),
      pass: (news) => {
        if (this.readsForAll) this.peers.sendTargets(news);
      },
    });
    this.demand = new DemandAggregator(clock);
    this.rates = new ModelRates(clock);
    this.loads = new TargetLoads(clock);
    this.demandTeller = new DemandTeller({
      clock,
      instance: options.member.host,
      rates: this.rates,
      loads: this.loads,
      instances: () => this.peers.instances(PEER_COUNTS_MS),
      tell: (request) => this.tellPlacer(request),
    });
    const instances = () => this.peers.instances(PEER_COUNTS_MS);
    this.limits = new WorkspaceLimits(clock, instances);
    this.peers = this.createPeers();
    this.lease = new Lease(
      {
        machine: options.member.name,
        incarnation: options.member.incarnation,
        handoverDelayMs: options.handoverDelayMs,
      },
      {
        clock,
        wallClock: ports.wallClock,
        store: ports.leaseStore,
        log,
        acknowledgedHeartbeat: () => this.peers.acknowledgedHeartbeat,
        rank: () => this.leaseRank(),
      },
    );
    this.placer = this.createPlacer();
    this.parts = {
      clock,
      log,
      metrics: this.metrics,
      dialect: ports.dialect,
      failureDomain: options.member.failureDomain,
      desired: () => this.view.desired,
      isStopping: () => this.isStopping,
      lastSendAtMs: () => this.lastSendAtMs,
      table: this.table,
      waiting: this.demandTeller.waiting,
      rates: this.rates,
      loads: this.loads,
      coldGate: new ColdGate({
        clock,
        log,
        metrics: this.metrics,
        limits: options.sharedLimits,
        random: Math.random,
        instances,
      }),
      limits: this.limits,
      repeats: new RepeatBudget(options.sharedLimits, instances),
      crashes: this.crashes,
      connections: new TargetConnections(() => this.connectionsPerTarget()),
      connectionLimit: (most) => this.connectionLimit(most),
      shareCrash: (fingerprint, target) => {
        if (!this.crashes.note(fingerprint, target)) return;
        this.peers.sendSuspects([[fingerprint, target]]);
      },
    };
    this.callers = new CallerListener(this.parts);
  }

  /** Starts to serve; ready once the store has been read. */
  async start(): Promise<void> {
    const { options, log } = this;
    const readiness = await HttpListener.open(options.readinessAddress, {}, log, (_, response) => {
      response.writeHead(this.isReady ? 200 : 503, { 'content-length': '0' }).end();
    });
    this.listeners.push(readiness);
    this.follower = this.ports.followStore(this.view, () => this.readsForAll);
    await this.peers.start();
    this.listeners.unshift(await this.callers.open(options.callersAddress));
    watchInstance(this.metrics, {
      version: () => this.view.desired?.version ?? 0,
      targets: () => this.table.size,
      isLeaseHeld: () => this.lease.isHeld(),
      instances: () => this.peers.instances(PEER_COUNTS_MS),
    });
    const metricsAddress = `${options.member.host}:${options.metricsPort}`;
    this.listeners.push(await serveMetrics(metricsAddress, this.metrics.registry, log));
    void this.lease.run();
    void this.placer.run();
    this.demandTeller.start();
    const { memberStore } = this.ports;
    const isOver = () => this.isStopping;
    void findPeers(memberStore, this.clock, options.member, isOver).then((members) =>
      this.peers.addMembers(members),
    );
    log.event('started', { callers: options.callersAddress, domain: options.member.failureDomain });
  }

  /** Finishes what is under way and ends within the grace. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const startedMs = this.clock.nowMs();
    this.lastSendAtMs = startedMs + BALANCER_LAG_MS;
    this.log.event('stopping', { under_way: this.callers.underWay });
    this.peers.sendHeartbeat();
    await this.lease.stop();
    await this.clock.sleep(BALANCER_LAG_MS - (this.clock.nowMs() - startedMs));
    this.listeners.forEach((listener) => listener.stopAccepting());
    const endMs = startedMs + this.options.shutdownGraceMs - GRACE_MARGIN_MS;
    while (this.callers.underWay > 0 && this.clock.nowMs() < endMs) {
      await this.clock.sleep(STOP_LOOK_MS);
      // Answers that began before the order to stop left their connections open.
      this.listeners.forEach((listener) => listener.closeIdle());
    }
    this.placer.stop();
    this.demandTeller.stop();
    this.follower?.stop();
    this.peers.stop();
    this.listeners.forEach((listener) => listener.destroy());
    await this.parts.connections.close();
    this.log.event('stopped', { under_way: this.callers.underWay });
  }

  private get isReady(): boolean {
    return !this.isStopping && this.view.isWhole;
  }

  /** Whether this instance reads the targets' entries and passes them on. */
  private get readsForAll(): boolean {
    const placers = [...this.peers.placers.values()].map(({ name }) => name);
    if (!this.lease.isCurrent) return placers.length === 0 && this.leaseRank() === 0;
    return isFirstReader(this.options.member.name, placers);
  }

  private forgetTargets(): void {
    const views = this.table.allTargets();
    const ids = new Set(views.map(({ entry }) => entry.id));
    this.loads.retain(ids);
    this.parts.coldGate.retain(ids);
    this.parts.connections.retain(new Set(views.map(({ entry }) => entry.address)));
  }

  private createPeers(): Peers {
    const { options, clock, log } = this;
    return new Peers(
      {
        name: options.member.name,
        failureDomain: options.member.failureDomain,
        host: options.member.host,
        port: options.peerPort,
        heartbeatIntervalMs: BEAT_EVERY_MS,
        seedHosts: options.seedHosts,
      },
      {
        clock,
        wallClock: this.ports.wallClock,
        log,
        heartbeatContent: (kind) => this.beat(kind),
        handlers: {
          heartbeat: (beat) => {
            this.limits.absorb(beat, !this.lease.isCurrent && this.peers.isOwnUsageIncluded(beat));
            const isNear = beat.member.failureDomain === options.member.failureDomain;
            if (isNear && beat.leaseOffset >= 0) this.lease.heard(beat.leaseOffset);
            if (beat.operatorOffset > this.operatorOffset) this.follower?.refresh();
          },
          demand: (request) => {
            this.demand.record(request);
            if (request.waiting.length > 0) this.placer.schedulePlanning();
          },
          targets: (news) => {
            if (this.follower?.acceptRelayed(news)) {
              this.view.takeTargets({ ...news, from: news.from ?? 0 });
            }
          },
          placement: (updates) => updates.forEach((update) => this.table.applyPlacement(update)),
          suspects: (pairs) =>
            pairs.forEach(([request, target]) => this.crashes.note(request, target)),
        },
      },
    );
  }

  private createPlacer(): Placer {
    const { options, clock, log, ports } = this;
    return new Placer(
      {
        failureDomain: options.member.failureDomain,
        maxConcurrentStoreLoads: STORE_LOADS_AT_ONCE,
        weightStoreWindowMs: options.weightStoreWindowMs,
      },
      {
        clock,
        authority: this.lease,
        control: ports.engineControl,
        table: this.table,
        demand: this.demand,
        log,
        desired: () => this.view.desired,
        activeDomains: () => [
          ...new Set([options.member.failureDomain, ...this.peers.placers.keys()]),
        ],
        publish: (updates, instance) => {
          if (instance !== options.member.host) this.peers.sendPlacement(updates, instance);
        },
      },
    );
  }

  private beat(kind: HeartbeatKind): HeartbeatContent {
    const usage = this.limits.usage(kind);
    if (kind === HeartbeatKind.Own) this.limits.noteTold(usage);
    return {
      member: this.options.member,
      operatorOffset: this.operatorOffset,
      leaseOffset: this.lease.isCurrent ? this.lease.offset : -1,
      isStopping: this.isStopping,
      usage,
    };
  }

  private get operatorOffset(): number {
    return this.follower?.operatorOffset ?? 0;
  }

  /** Place of this instance among the candidates for the lease of its failure domain. */
  private leaseRank(): number {
    return this.isReady ? candidateRank(this.options.member, this.peers.candidates) : -1;
  }

  /** Passes demand on to the instances that give orders. */
  private tellPlacer(request: DemandReport): void {
    if (this.lease.isHolder) {
      this.demand.record(request);
      if (request.waiting.length > 0) this.placer.schedulePlanning();
    }
    this.peers.placers.forEach(({ host }) => this.peers.sendDemand(host, request));
  }

  private connectionsPerTarget(): number {
    const pools = [...(this.view.desired?.pools.values() ?? [])];
    return this.connectionLimit(Math.max(1, ...pools.map(({ maxConnections }) => maxConnections)));
  }

  private connectionLimit(maxConnections: number): number {
    return connectionShare(maxConnections, this.peers.instances(PEER_COUNTS_MS));
  }
}

export default Edge;
