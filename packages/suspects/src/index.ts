/** Finds out which requests crash targets, and keeps them from the next ones. */
export type { default as CrashReport } from './CrashReport';
export { default as SuspectRegistry } from './SuspectRegistry';
export type { default as SuspectUpdate } from './SuspectUpdate';
export { default as SuspectDecision } from './SuspectDecision';
