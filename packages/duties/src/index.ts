/** Duties that one instance at a time performs towards the platform. */
export type { default as DatedAnswer } from './DatedAnswer';
export type { default as DutyLease } from './DutyLease';
export { default as TrueTime } from './TrueTime';
export { default as UsageCollector } from './UsageCollector';
export { default as UsageCounter } from './UsageCounter';
export type { default as UsageJournal } from './UsageJournal';
export type { default as UsagePorts } from './UsagePorts';
export { default as UsageReporter } from './UsageReporter';
export { default as usageMessages } from './usageMessages';
