import { createBodyMemory } from '@wisteriapath/body-memory';
import type { Clock } from '@wisteriapath/model';
import type { SuspectRegistry } from '@wisteriapath/suspects';
import {
  DemandAggregator,
  type DemandReport,
  type EventLog,
  Lease,
  type Peers,
  type Placer,
  type StoreFollower,
  StoreTopic,
  suspectUpdateCodec,
  TargetTable,
} from '@wisteriapath/fleet';
import CallerListener from './CallerListener';
import ColdTargetLimiter from './ColdTargetLimiter';
import DemandReporter from './DemandReporter';
import DomainContact from './DomainContact';
import type EdgeDependencies from './EdgeDependencies';
import EdgeListeners from './EdgeListeners';
import EdgeMetrics from './EdgeMetrics';
import type EdgeOptions from './EdgeOptions';
import type EdgePorts from './EdgePorts';
import ModelRates from './ModelRates';
import PeerCatchUp from './PeerCatchUp';
import PoolRetryBudgets from './PoolRetryBudgets';
import RequestDispatcher from './RequestDispatcher';
import Shutdown from './Shutdown';
import StopGate from './StopGate';
import StoreView from './StoreView';
import type StoredRecords from './StoredRecords';
import TargetConnections from './TargetConnections';
import TargetLoads from './TargetLoads';
import TargetProbe from './TargetProbe';
import TargetSignals from './TargetSignals';
import type UsageDuty from './UsageDuty';
import WorkspaceLimits from './WorkspaceLimits';
import candidateRank from './candidateRank';
import type createHeartbeatContent from './createHeartbeatContent';
import createPeerHandlers from './createPeerHandlers';
import createPeers from './createPeers';
import createPlacer from './createPlacer';
import createReadinessLog from './createReadinessLog';
import connectionShare from './connectionShare';
import createSuspects from './createSuspects';
import createUsageDuty from './createUsageDuty';
import readsStoreForAll from './readsStoreForAll';
import registerInstanceGauges from './registerInstanceGauges';
import retainKnownTargets from './retainKnownTargets';
import stopParts from './stopParts';

/** Silence after which a peer is assumed to spend nothing more of the shared limits. */
const PEER_SPENDING_TIMEOUT_MS = 12_000;

/** An entry instance in front of targets that register themselves. */
class Edge {
  private readonly storeView: StoreView;

  private readonly shutdown: Shutdown;

  private readonly listeners: EdgeListeners;

  private stopped: Promise<void> | undefined;

  private follower: StoreFollower | undefined;

  private readonly metrics = new EdgeMetrics();

  private readonly table: TargetTable;

  private readonly demand: DemandAggregator;

  private readonly demandReporter: DemandReporter;

  private readonly rates: ModelRates;

  private readonly loads: TargetLoads;

  private readonly suspects: SuspectRegistry;

  private readonly records: StoredRecords;

  private readonly limits: WorkspaceLimits;

  private readonly peers: Peers;

  private readonly catchUp: PeerCatchUp;

  private readonly signals: TargetSignals;

  private readonly lease: Lease;

  private readonly placer: Placer;

  private readonly usage: UsageDuty | undefined;

  private readonly deps: EdgeDependencies;

  private readonly callers: CallerListener;

  constructor(
    private readonly options: EdgeOptions,
    private readonly ports: EdgePorts,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    this.shutdown = new Shutdown({
      clock,
      graceMs: options.shutdownGraceMs,
      activeRequests: () => this.callers.activeRequests,
    });
    this.table = new TargetTable(clock);
    const common = { clock, log, metrics: this.metrics, table: this.table };
    this.storeView = new StoreView({
      ...common,
      decoder: ports.decoder,
      settlingMs: () => this.follower?.settlingMs ?? 0,
      recoveryMs: () => this.follower?.recoveryMs ?? 0,
      onDesiredState: ({ limits }) => this.callers.setLimits(limits),
      onTargetsRemoved: () => retainKnownTargets(this.table, { ...this.deps, demand: this.demand }),
      onStoreReturned: (era) => this.records.writeAgain(era),
      relayTargets: (span) => {
        if (this.isStoreReader) this.peers.sendTargets(span);
      },
    });
    this.demand = new DemandAggregator(clock, this.table);
    const instances = () => this.peers.instanceCount(PEER_SPENDING_TIMEOUT_MS);
    this.rates = new ModelRates(clock);
    const contact = new DomainContact({
      clock,
      ownDomain: options.member.failureDomain,
      isHeard: (domain, withinMs) => this.peers.hasHeard(domain, withinMs),
    });
    this.loads = new TargetLoads(clock, this.table, contact, log);
    this.demandReporter = new DemandReporter({
      clock,
      instance: options.member.host,
      rates: this.rates,
      loads: this.loads,
      instances,
      send: (report) => this.reportDemand(report),
    });
    this.limits = new WorkspaceLimits(clock, instances);
    this.catchUp = new PeerCatchUp(options.peerPort, { ...common, view: this.storeView });
    const connections = new TargetConnections();
    this.signals = new TargetSignals({
      ...common,
      connections,
      announce: (targets) => this.peers.sendLeavingTargets(targets),
    });
    ({ suspects: this.suspects, records: this.records } = createSuspects({
      ...common,
      ports,
      isWriter: () => this.lease.isCurrent,
      announce: (update) => this.peers.sendSuspects(suspectUpdateCodec.encode(update)),
      self: options.member,
      isOver: () => this.shutdown.hasBegun,
      onMembers: (members) => this.peers.addMembers(members),
    }));
    this.peers = this.createPeers();
    this.lease = new Lease(
      {
        machine: options.member.name,
        incarnation: options.member.incarnation,
        handoverDelayMs: options.handoverDelayMs,
      },
      {
        ...common,
        wallClock: ports.wallClock,
        store: ports.leaseStore,
        lastContact: () => this.peers.lastContact,
        rank: () => this.leaseRank(),
      },
    );
    this.usage = createUsageDuty(options, ports, {
      ...common,
      peers: this.peers,
      isPlacer: () => this.lease.isCurrent && !this.shutdown.hasBegun,
    });
    this.placer = createPlacer({
      ...common,
      options,
      ports,
      lease: this.lease,
      demand: this.demand,
      storeView: this.storeView,
      isStoreReachable: () => this.follower?.isReachable ?? false,
      peers: this.peers,
    });
    this.deps = {
      ...common,
      dialect: ports.dialect,
      failureDomain: options.member.failureDomain,
      desired: () => this.storeView.desired,
      isStopping: () => this.shutdown.hasBegun,
      sendCutoffAtMs: () => this.shutdown.sendCutoffAtMs,
      sendCutoffSignal: this.shutdown.sendCutoffSignal,
      stopGate: new StopGate({ clock, log, shutdown: this.shutdown, peers: this.peers }),
      stopSignal: this.shutdown.finalSignal,
      waiting: this.demandReporter.waiting,
      dispatcher: new RequestDispatcher(common),
      rates: this.rates,
      loads: this.loads,
      ...(this.usage && { recordUsage: (workspace: string) => this.usage?.record(workspace) }),
      coldTargetLimiter: new ColdTargetLimiter({
        ...common,
        limits: options.sharedLimits,
        random: Math.random,
        instances,
      }),
      limits: this.limits,
      retryBudgets: new PoolRetryBudgets(options.sharedLimits, instances),
      memory: createBodyMemory(
        options.memoryLimitBytes,
        ({ bytes, heldBytes: held, limitBytes: limit }) =>
          log.event('memory_given_up', { bytes, held, limit }),
      ),
      suspects: this.suspects,
      probe: new TargetProbe(ports.engineControl, clock, (one) => this.loads.lastByteAtMs(one)),
      connections,
      signals: this.signals,
      connectionLimit: (maxConnections) => connectionShare(maxConnections, instances()),
    };
    this.callers = new CallerListener(this.deps, options.memoryLimitBytes);
    this.listeners = new EdgeListeners(options, {
      deps: this.deps,
      view: this.storeView,
      callers: this.callers,
      peers: this.peers,
    });
  }

  /** Starts to serve. The instance reports ready once its ports are open and the store has been read. */
  async start(): Promise<void> {
    registerInstanceGauges(this.metrics, {
      version: () => this.storeView.desired?.version ?? 0,
      targets: () => this.table.size,
      targetsAgeMs: () => this.storeView.ageMs(StoreTopic.Targets),
      operatorAgeMs: () => this.storeView.ageMs(StoreTopic.Operator),
      storeEra: () => this.storeView.era,
      isLeaseHeld: () => this.lease.isHeld(),
      instances: () => this.peers.instanceCount(PEER_SPENDING_TIMEOUT_MS),
      quarantinedTraits: () => this.suspects.quarantinedCount,
      slowTargets: () => this.loads.pace.slowCount,
    });
    this.follower = this.ports.followStore(this.storeView, () => this.isStoreReader);
    const { listeners, storeView: view, follower } = this;
    void createReadinessLog(this.deps, { listeners, view, follower }).run();
    await listeners.open();
    if (this.shutdown.hasBegun) return;
    void this.lease.run();
    void this.placer.run();
    this.demandReporter.start();
    this.usage?.start();
    void this.records.learn();
    const { callersAddress: callers, member } = this.options;
    this.log.event('started', { callers, domain: member.failureDomain });
  }

  /**
   * Finishes the requests in progress and stops within the grace period, of which a part may have passed. Called again, it waits for
   * the same stop.
   */
  stop(passedMs = 0): Promise<void> {
    this.stopped ??= this.stopOnce(passedMs);
    return this.stopped;
  }

  /** Log fields on the requests that a stop has left without a whole answer, or that are in progress. */
  get leftFields(): CallerListener['leftFields'] {
    return this.callers.leftFields;
  }

  private async stopOnce(passedMs: number): Promise<void> {
    const { callers, listeners } = this;
    this.log.event('stopping', {
      under_way: callers.activeRequests,
      passed_ms: Math.round(passedMs),
    });
    const finished = this.shutdown.run(listeners.all, listeners.mayBeReached, passedMs);
    // A silent store must not let the release of the lease delay the rest.
    void stopParts(this.log, {
      heartbeat: () => this.peers.announceStop(),
      lease: () => this.lease.stop(),
      usage: () => this.usage?.release(),
    });
    await stopParts(this.log, {
      requests: () => finished,
      placer: () => this.placer.stop(),
      usage: () => this.usage?.stop(),
      demand: () => this.demandReporter.stop(),
      store: () => this.follower?.stop(),
      peers: () => this.peers.stop(),
      callers: () => this.callers.abortActive(),
      listeners: () => this.listeners.destroy(),
      catch_up: () => this.catchUp.close(),
      targets: () => this.deps.connections.close(),
    });
    this.log.event('stopped', this.leftFields);
  }

  /** Whether this instance reads the store for all: it relays the targets' entries, and tells how old its view of the operator's records is. */
  private get isStoreReader(): boolean {
    const { name } = this.options.member;
    const reachesStore = this.follower?.isReachable ?? false;
    return readsStoreForAll({ name, reachesStore, isPlacer: this.lease.isCurrent }, this.peers);
  }

  private createPeers(): Peers {
    const { options, clock, log } = this;
    return createPeers(options, {
      clock,
      wallClock: this.ports.wallClock,
      log,
      heartbeatParts: () => this.heartbeatParts,
      handlers: createPeerHandlers({
        failureDomain: options.member.failureDomain,
        storeView: this.storeView,
        catchUp: this.catchUp,
        limits: this.limits,
        demand: this.demand,
        table: this.table,
        suspects: this.suspects,
        signals: this.signals,
        loads: this.loads,
        lease: () => this.lease,
        placer: () => this.placer,
        usage: () => this.usage,
        peers: () => this.peers,
      }),
    });
  }

  private get heartbeatParts(): Parameters<typeof createHeartbeatContent>[1] {
    const { limits, lease, storeView, follower, table, suspects, shutdown, usage } = this;
    return {
      member: this.options.member,
      limits,
      lease,
      storeView,
      follower,
      table,
      suspects,
      shutdown,
      isReady: this.listeners.isReady,
      usage,
    };
  }

  /** Returns the rank of this instance among the candidates for the lease of its failure domain; -1 if not ready. */
  private leaseRank(): number {
    return this.listeners.isReady ? candidateRank(this.options.member, this.peers.candidates) : -1;
  }

  /** Sends a demand report to the local placer, if it holds the lease, and to the other placers. */
  private reportDemand(report: DemandReport): void {
    if (this.lease.isHolder) {
      this.demand.record(report);
      if (report.waiting.length > 0) this.placer.schedulePlanning();
    }
    this.peers.placers.forEach(({ host }) => this.peers.sendDemand(host, report));
  }
}

export default Edge;
