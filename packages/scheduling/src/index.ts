/** The order of waiting work: which of it starts first when there is too little capacity. */
export { default as agedPriority } from './agedPriority';
export { default as compareWaiting } from './compareWaiting';
export { default as deferrableLatencyTargetMs } from './deferrableLatencyTargetMs';
export type { default as RankedWork } from './RankedWork';
export { default as DispatchQueue } from './DispatchQueue';
export type { default as DispatchRequest } from './DispatchRequest';
export { default as rankWork } from './rankWork';
export { default as slackMs } from './slackMs';
export { default as Urgency } from './Urgency';
export { default as urgencyOf } from './urgencyOf';
export { default as urgentSlackMs } from './urgentSlackMs';
export { default as valueKept } from './valueKept';
export type { default as WaitingWork } from './WaitingWork';
export { default as WorkspaceFairness } from './WorkspaceFairness';
