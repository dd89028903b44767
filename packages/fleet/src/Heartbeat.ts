import type HeartbeatKind from './HeartbeatKind';
import type MemberRecord from './MemberRecord';

/** What an instance tells all peers, several times a second. */
interface Heartbeat {
  readonly member: MemberRecord;
  /** Offset up to which the sender knows what the operator wrote. */
  readonly operatorOffset: number;
  /** Offset of the lease record by which the sender gives orders; -1 if it does not. */
  readonly leaseOffset: number;
  readonly isStopping: boolean;
  /** Increases with each beat of one incarnation. */
  readonly number: number;
  /** Name of the peer that was last heard to give orders, and the number of that beat. */
  readonly holderHeard: readonly [string, number];
  readonly kind: HeartbeatKind;
  /** Those that give orders, as far as the sender hears them; none where it tells its own use. */
  readonly placers: readonly MemberRecord[];
  /** Instances whose use this beat tells. */
  readonly counted: number;
  /** Workspace, units admitted since the start, units a second asked for. */
  readonly usage: readonly (readonly [string, number, number])[];
}

export default Heartbeat;
