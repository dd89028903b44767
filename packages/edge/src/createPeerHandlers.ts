import {
  type DemandAggregator,
  type Lease,
  type PeerHandlers,
  type Peers,
  type Placer,
  heartbeatLease,
  StoreTopic,
  suspectUpdateCodec,
  type TargetTable,
} from '@wisteriapath/fleet';
import type { SuspectRegistry } from '@wisteriapath/suspects';
import type PeerCatchUp from './PeerCatchUp';
import type StoreView from './StoreView';
import type TargetLoads from './TargetLoads';
import type TargetSignals from './TargetSignals';
import type UsageDuty from './UsageDuty';
import type WorkspaceLimits from './WorkspaceLimits';

interface Dependencies {
  readonly failureDomain: string;
  readonly storeView: StoreView;
  readonly catchUp: PeerCatchUp;
  readonly limits: WorkspaceLimits;
  readonly demand: DemandAggregator;
  readonly table: TargetTable;
  readonly suspects: SuspectRegistry;
  readonly signals: TargetSignals;
  readonly loads: TargetLoads;
  readonly lease: () => Lease;
  /** Absent where the deployment does not report usage. */
  readonly usage: () => UsageDuty | undefined;
  readonly placer: () => Placer;
  readonly peers: () => Peers;
}

/** Age of records that are relayed as soon as they are read. */
const JUST_READ_MS = 0;

/**
 * Creates the handlers of what peers send.
 *
 * @example
 * const handlers = createPeerHandlers(deps);
 */
const createPeerHandlers = (deps: Dependencies): PeerHandlers => ({
  heartbeat: (heartbeat) => {
    const lease = deps.lease();
    const includesOwnUsage = !lease.isCurrent && deps.peers().isOwnUsageIncluded(heartbeat);
    deps.limits.applyHeartbeat(heartbeat, includesOwnUsage);
    const isSameDomain = heartbeat.member.failureDomain === deps.failureDomain;
    const claimed = isSameDomain ? heartbeatLease(heartbeat) : undefined;
    if (claimed !== undefined) lease.observeHolder(claimed);
    deps.usage()?.observeHeartbeat(heartbeat);
    deps.catchUp.observe(heartbeat);
    // Instances of an earlier build do not say.
    deps.signals.recordFromPeer(heartbeat.leavingTargets ?? []);
    // Instances of an earlier build do not say.
    const suspects = heartbeat.suspects ?? null;
    if (suspects === null) return;
    const missed = deps.suspects.merge(suspectUpdateCodec.decode(suspects));
    if (missed === undefined) return;
    deps.peers().sendSuspects(suspectUpdateCodec.encode(missed), heartbeat.member.host);
  },
  demand: (report) => {
    deps.demand.record(report);
    if (report.waiting.length > 0) deps.placer().schedulePlanning();
  },
  targets: (span, sender) => {
    deps.storeView.mergeFromPeer(StoreTopic.Targets, span, sender);
    deps.storeView.confirmFromPeer(StoreTopic.Targets, span.to, JUST_READ_MS);
  },
  leavingTargets: (targets) => deps.signals.recordFromPeer(targets),
  forecast: (forecast) => deps.table.forecasts.record(forecast),
  placement: (updates) => updates.forEach((update) => deps.table.applyPlacement(update)),
  usage: (message) => deps.usage()?.receive(message),
  suspects: (message) => {
    deps.suspects.merge(suspectUpdateCodec.decode(message));
  },
  targetDigest: (rows) => deps.loads.pace.recordShared(rows),
});

export default createPeerHandlers;
