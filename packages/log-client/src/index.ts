/**
 * Client of the platform's replicated log: appends under unique ids, and replicas that fold a
 * stream in offset order.
 */
export { default as AppendResult } from './AppendResult';
export { default as appendUntilSettled } from './appendUntilSettled';
export { default as backoffMs } from './backoffMs';
export { default as BatchingLog } from './BatchingLog';
export { default as decodeEnvelope } from './decodeEnvelope';
export type { default as Envelope } from './Envelope';
export { default as encodeEnvelope } from './encodeEnvelope';
export type { default as Fold } from './Fold';
export { default as emptyFoldedStream } from './emptyFoldedStream';
export type { default as FoldedStream } from './FoldedStream';
export { default as foldRecord } from './foldRecord';
export type { default as FoldStep } from './FoldStep';
export { default as HttpLog } from './HttpLog';
export type { default as LogBatch } from './LogBatch';
export type { default as LogPort } from './LogPort';
export type { default as LogRecord } from './LogRecord';
export { default as RecordIds } from './RecordIds';
export { default as RecordVerdict } from './RecordVerdict';
export type { default as AppendOutcome } from './AppendOutcome';
export { default as OutcomeKind } from './OutcomeKind';
export type { default as Snapshot } from './Snapshot';
export type { default as SnapshotCodec } from './SnapshotCodec';
export { default as StreamReplica } from './StreamReplica';
