import {
  type HeartbeatContent,
  HeartbeatKind,
  type Lease,
  type MemberRecord,
  packHeartbeatEnds,
  type TargetTable,
} from '@wisteriapath/fleet';
import type { SuspectRegistry } from '@wisteriapath/suspects';
import type StoreView from './StoreView';
import type WorkspaceLimits from './WorkspaceLimits';
import repeatedSuspects from './repeatedSuspects';

interface Dependencies {
  readonly member: MemberRecord;
  readonly limits: WorkspaceLimits;
  readonly storeView: StoreView;
  readonly table: TargetTable;
  readonly suspects: SuspectRegistry;
  readonly lease: () => Lease;
  readonly reachesStore: () => boolean;
  readonly isStopping: () => boolean;
}

/**
 * Returns the function that tells what an instance says in its next heartbeat of a kind.
 *
 * @example
 * new Peers(options, { ...parts, heartbeatContent: createHeartbeatContent(deps) });
 */
const createHeartbeatContent =
  (deps: Dependencies) =>
  (kind: HeartbeatKind): HeartbeatContent => {
    const { limits, storeView } = deps;
    const lease = deps.lease();
    const usage = limits.usage(kind);
    if (kind === HeartbeatKind.Own) limits.recordReport(usage);
    const held = lease.isCurrent ? lease.position : undefined;
    return {
      member: deps.member,
      ...packHeartbeatEnds((topic) => storeView.end(topic)),
      reachesStore: deps.reachesStore(),
      leavingTargets: deps.table.selfDeclaredLeaving,
      suspects: repeatedSuspects(deps.suspects),
      leaseOffset: held?.offset ?? -1,
      leaseEra: held?.era ?? 0,
      isStopping: deps.isStopping(),
      usage,
    };
  };

export default createHeartbeatContent;
