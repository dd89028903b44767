/**
 * Shared state of the instances: desired state, targets, peers, the lease to give orders,
 * placement.
 */
export { default as assetId } from './assetId';
export type { default as Authority } from './Authority';
export { default as HeartbeatKind } from './HeartbeatKind';
export type { default as HeartbeatContent } from './HeartbeatContent';
export type { default as Heartbeat } from './Heartbeat';
export type { default as CallerLimits } from './CallerLimits';
export type { default as Demand } from './Demand';
export { default as DemandAggregator } from './DemandAggregator';
export type { default as DesiredState } from './DesiredState';
export type { default as EngineControl } from './EngineControl';
export type { default as EngineOrder } from './EngineOrder';
export type { default as EngineReport } from './EngineReport';
export type { default as EngineSpec } from './EngineSpec';
export type { default as EventLog } from './EventLog';
export { default as Lease } from './Lease';
export type { default as LeaseRecord } from './LeaseRecord';
export type { default as LeaseStore } from './LeaseStore';
export type { default as MemberRecord } from './MemberRecord';
export type { default as MemberStore } from './MemberStore';
export type { default as ModelSpec } from './ModelSpec';
export { default as Notifier } from './Notifier';
export { default as OrderAnswer } from './OrderAnswer';
export { default as OrderKind } from './OrderKind';
export type { default as PathRoute } from './PathRoute';
export type { default as PeerHandlers } from './PeerHandlers';
export { default as Peers } from './Peers';
export { default as Placer } from './Placer';
export type { default as DemandReport } from './DemandReport';
export type { default as PlacementUpdate } from './PlacementUpdate';
export type { default as PoolSpec } from './PoolSpec';
export type { default as KeyedRecord } from './KeyedRecord';
export type { default as RecordDecoder } from './RecordDecoder';
export type { default as RecordSink } from './RecordSink';
export type { default as RecordSpan } from './RecordSpan';
export { default as recordSpanCodec } from './recordSpanCodec';
export type { default as RegisteredTarget } from './RegisteredTarget';
export { default as RouteSemantics } from './RouteSemantics';
export type { default as StoreFollower } from './StoreFollower';
export { default as StoreTopic } from './StoreTopic';
export { default as TopicReplica } from './TopicReplica';
export { default as TargetTable } from './TargetTable';
export type { default as TargetView } from './TargetView';
export { default as WaitingRequests } from './WaitingRequests';
export type { default as WallClock } from './WallClock';
export type { default as WorkspaceSpec } from './WorkspaceSpec';
