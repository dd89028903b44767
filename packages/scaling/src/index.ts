/** Decisions on how many engines a service has in a failure domain. */
export { default as decideScale } from './decideScale';
export { default as findDoubt } from './findDoubt';
export { default as hasEnoughReports } from './hasEnoughReports';
export type { default as ModelMemory } from './ModelMemory';
export type { default as Observation } from './Observation';
export { default as ObservationWindow } from './ObservationWindow';
export type { default as ScalingDecision } from './ScalingDecision';
export type { default as ScalingLimits } from './ScalingLimits';
export { default as ScalingReason } from './ScalingReason';
export type { default as ScalingView } from './ScalingView';
export type { default as StandingOrder } from './StandingOrder';
export { default as startingEngines } from './startingEngines';
export { default as windowMs } from './windowMs';
