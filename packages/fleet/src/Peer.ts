import type MemberRecord from './MemberRecord';
import type StorePosition from './StorePosition';

/** Another instance, as its heartbeats show it. */
interface Peer {
  readonly member: MemberRecord;
  /** When its last heartbeat arrived, on the monotonic clock; -Infinity if none has. */
  lastHeartbeatMs: number;
  /** The same as time of day. */
  lastHeartbeatWallMs: number;
  /** Number of its newest heartbeat. */
  newestNumber: number;
  isStopping: boolean;
  /** Whether it tells the balancer that it is ready. */
  isReady: boolean;
  /** Whether the store answered its last call. */
  reachesStore: boolean;
  /** Position of the lease record under which it gives orders; `undefined` if it gives none. */
  lease: StorePosition | undefined;
  /** Number of instances whose usage its heartbeats report. */
  counted: number;
  /** Number of the newest heartbeat of this instance, sent as lease holder, that the peer acknowledged. */
  ackedNumber: number;
}

export default Peer;
