import type MemberRecord from './MemberRecord';
import type Peer from './Peer';

/**
 * Returns a peer of which nothing is known but when it was last heard.
 *
 * @example
 * const peer = createPeer(member, { lastHeartbeatMs: clock.nowMs(), lastHeartbeatWallMs: Date.now() });
 */
const createPeer = (
  member: MemberRecord,
  heard: Pick<Peer, 'lastHeartbeatMs' | 'lastHeartbeatWallMs'>,
): Peer => ({
  member,
  ...heard,
  newestNumber: 0,
  isStopping: false,
  isReady: false,
  reachesStore: false,
  lease: undefined,
  counted: 0,
  ackedNumber: 0,
});

export default createPeer;
