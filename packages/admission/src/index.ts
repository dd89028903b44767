/** Authentication and authorization of calls, and the fair queue of waiting requests. */
export { default as authenticate } from './authenticate';
export { default as bearerSecret } from './bearerSecret';
export type { default as Caller } from './Caller';
export { default as checkCall } from './checkCall';
export type { default as CheckedCall } from './CheckedCall';
export type { default as ConfigView } from './ConfigView';
export { default as FairQueue } from './FairQueue';
export type { default as QueueItem } from './QueueItem';
