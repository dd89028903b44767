import type HeardHeartbeat from './HeardHeartbeat';
import type HeartbeatKind from './HeartbeatKind';
import type MemberRecord from './MemberRecord';
import type SuspectMessage from './SuspectMessage';
import type UsageDutyContent from './UsageDutyContent';

/** A message that each instance sends to its peers several times a second. */
interface Heartbeat {
  /** The sender. */
  readonly member: MemberRecord;
  /** Store offset up to which the sender knows the operator's records. Read it by `heartbeatEnds`. */
  readonly operatorOffset: number;
  /** Era of the store to which that offset belongs; absent from heartbeats of an earlier build. */
  readonly operatorEra?: number;
  /**
   * Time since the sender itself last began a read of the store that found nothing after these; absent before the first, and
   * from heartbeats of an earlier build.
   */
  readonly operatorReadAgeMs?: number;
  /** Store offset up to which the sender knows the targets' records. Read it by `heartbeatEnds`. */
  readonly targetsOffset: number;
  /** Era of the store to which that offset belongs; absent from heartbeats of an earlier build. */
  readonly targetsEra?: number;
  /** Whether the store answered the sender's last call. */
  readonly reachesStore: boolean;
  /** Targets that said that they are leaving, by id and start. */
  readonly leavingTargets: readonly (readonly [string, number])[];
  /** What is quarantined as it crashes targets; `null` in most heartbeats. */
  readonly suspects: SuspectMessage | null;
  /** Offset of the lease record under which the sender gives orders; -1 if it gives none. Read it by `heartbeatLease`. */
  readonly leaseOffset: number;
  /** Era of the store to which that offset belongs; absent from heartbeats of an earlier build. */
  readonly leaseEra?: number;
  /** What the sender knows of the usage duty; absent if it is no candidate. Read it by `readUsageDutyContent`. */
  readonly usageDuty?: UsageDutyContent;
  /** Time of day at the sender; only where the deployment has duties that depend on true time. */
  readonly clockMs?: number;
  /** Whether the sender is shutting down. */
  readonly isStopping: boolean;
  /** Whether the sender tells the balancer that it is ready; absent from heartbeats of an earlier build. */
  readonly isReady?: boolean;
  /** Sequence number. Increases with each heartbeat of one incarnation. */
  readonly number: number;
  /** The last heartbeat of a lease holder that the sender received. */
  readonly holderHeard: HeardHeartbeat;
  /** Which instances' usage the heartbeat reports. */
  readonly kind: HeartbeatKind;
  /**
   * Placers that the sender receives heartbeats from; empty if the heartbeat reports the sender's
   * own usage.
   */
  readonly placers: readonly MemberRecord[];
  /** Number of instances whose usage this heartbeat reports. */
  readonly counted: number;
  /** Usage per workspace: name, units admitted since the start, and units requested per second. */
  readonly usage: readonly (readonly [string, number, number])[];
}

export default Heartbeat;
