/** Links between entry instances: heartbeats, relayed log records, proof that a process is dead. */
export { default as callPeer } from './callPeer';
export { default as DeathProver } from './DeathProver';
export * as messages from './generated/peer';
export { default as HttpInstanceList } from './HttpInstanceList';
export type { default as InstanceListPort } from './InstanceListPort';
export { default as PeerClients } from './PeerClients';
export type { default as PeerHandlers } from './PeerHandlers';
export type { default as PeerIdentity } from './PeerIdentity';
export { default as PeerLink } from './PeerLink';
export { default as PeerMesh } from './PeerMesh';
export { default as startPeerServer } from './startPeerServer';
export { default as RelayedStreams } from './RelayedStreams';
