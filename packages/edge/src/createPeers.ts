import type { Clock } from '@wisteriapath/model';
import { type EventLog, type PeerHandlers, Peers, type WallClock } from '@wisteriapath/fleet';
import type EdgeOptions from './EdgeOptions';
import createHeartbeatContent from './createHeartbeatContent';

interface Dependencies {
  readonly clock: Clock;
  readonly wallClock: WallClock;
  readonly log: EventLog;
  /** Returns what heartbeats tell of this instance, at each of them. */
  readonly heartbeatParts: () => Parameters<typeof createHeartbeatContent>[1];
  readonly handlers: PeerHandlers;
}

const HEARTBEAT_INTERVAL_MS = 200;

/**
 * Creates the links of an instance to its peers.
 *
 * @example
 * const peers = createPeers(options, { clock, wallClock, log, heartbeatParts, handlers });
 */
const createPeers = (
  { member, peerPort, seedHosts }: EdgeOptions,
  { heartbeatParts, ...parts }: Dependencies,
): Peers =>
  new Peers(
    { ...member, port: peerPort, heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS, seedHosts },
    { ...parts, heartbeatContent: (kind) => createHeartbeatContent(kind, heartbeatParts()) },
  );

export default createPeers;
