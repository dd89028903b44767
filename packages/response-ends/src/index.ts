export { default as CallerServer } from './CallerServer';
export { default as ConnectionUse } from './ConnectionUse';
export { default as ResponseFraming } from './ResponseFraming';
export { default as TrackedClient } from './TrackedClient';
export type { default as TrackedDispatchOptions } from './TrackedDispatchOptions';
export type { default as UnreadableBytes } from './UnreadableBytes';
export { default as createTrackedAgent } from './createTrackedAgent';
export { default as framingOf } from './framingOf';
export { default as hasBody } from './hasBody';
