import {
  type HeartbeatContent,
  HeartbeatKind,
  type Lease,
  type MemberRecord,
  packHeartbeatEnds,
  type StoreFollower,
  StoreTopic,
  type TargetTable,
} from '@wisteriapath/fleet';
import type { SuspectRegistry } from '@wisteriapath/suspects';
import type Shutdown from './Shutdown';
import type StoreView from './StoreView';
import type UsageDuty from './UsageDuty';
import type WorkspaceLimits from './WorkspaceLimits';
import repeatedSuspects from './repeatedSuspects';

interface Parts {
  readonly member: MemberRecord;
  readonly limits: WorkspaceLimits;
  readonly lease: Lease;
  readonly storeView: StoreView;
  readonly follower: StoreFollower | undefined;
  readonly table: TargetTable;
  readonly suspects: SuspectRegistry;
  readonly shutdown: Shutdown;
  /** Whether this instance tells the balancer that it is ready. */
  readonly isReady: boolean;
  readonly usage: UsageDuty | undefined;
}

/**
 * Returns what the next heartbeat of this instance says.
 *
 * @example
 * createHeartbeatContent(HeartbeatKind.Own, parts);
 */
const createHeartbeatContent = (kind: HeartbeatKind, parts: Parts): HeartbeatContent => {
  const { member, limits, lease, storeView, follower, table, suspects, usage: duty } = parts;
  const usage = limits.usage(kind);
  if (kind === HeartbeatKind.Own) limits.recordReport(usage);
  const held = lease.isCurrent ? lease.position : undefined;
  const usageDuty = duty?.content;
  const operatorReadAgeMs = storeView.readAgeMs(StoreTopic.Operator);
  return {
    member,
    ...packHeartbeatEnds((topic) => storeView.end(topic)),
    ...(Number.isFinite(operatorReadAgeMs) && { operatorReadAgeMs: Math.ceil(operatorReadAgeMs) }),
    reachesStore: follower?.isReachable ?? false,
    leavingTargets: table.selfDeclaredLeaving,
    suspects: repeatedSuspects(suspects),
    leaseOffset: held?.offset ?? -1,
    leaseEra: held?.era ?? 0,
    isStopping: parts.shutdown.hasBegun,
    isReady: parts.isReady,
    ...(usageDuty && { usageDuty }),
    ...(duty && { clockMs: duty.clockMs }),
    usage,
  };
};

export default createHeartbeatContent;
