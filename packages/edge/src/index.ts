/** An entry instance in front of targets that register themselves: admission, forwarding, start and stop. */
export type { default as Dialect } from './Dialect';
export { default as Edge } from './Edge';
export type { default as EdgeOptions } from './EdgeOptions';
export type { default as EdgePorts } from './EdgePorts';
export type { default as HeaderRecord } from './HeaderRecord';
export { default as LineLog } from './LineLog';
export type { default as RequestFields } from './RequestFields';
export type { default as ResponseFields } from './ResponseFields';
export { default as StoreView } from './StoreView';
export type { default as TargetHeaderInput } from './TargetHeaderInput';
export { default as afterRunningTime } from './afterRunningTime';
export { default as listensEverywhere } from './listensEverywhere';
export { default as portOf } from './portOf';
export { default as writeError } from './writeError';
