/** Test doubles of the platform, of targets, with fault injection over `/faults`, and of clients. */
export type { default as CrowdGroup } from './CrowdGroup';
export type { default as EngineOptions } from './EngineOptions';
export { default as FaultKind } from './FaultKind';
export type { default as LogOptions } from './LogOptions';
export type { default as RunningStandin } from './RunningStandin';
export { default as loopbackSettings } from './loopbackSettings';
export { default as startCrowd } from './startCrowd';
export { default as startEngine } from './startEngine';
export { default as startInstanceList } from './startInstanceList';
export { default as startLog } from './startLog';
export { default as startService } from './startService';
export { default as startWeightStore } from './startWeightStore';
