/** Carries checked calls to targets, and their responses back to the callers. */
export type { default as ResponseSink } from './ResponseSink';
export type { default as CallContext } from './CallContext';
export { default as ClaimRegistry } from './ClaimRegistry';
export type { default as ClaimEntry } from './ClaimEntry';
export { default as ClaimPhase } from './ClaimPhase';
export { default as ClaimRecordKind } from './ClaimRecordKind';
export type { default as ClaimsState } from './ClaimsState';
export { default as createClaimsFold } from './createClaimsFold';
export type { default as CompletionRequest } from './CompletionRequest';
export { default as GuardedTargetClient } from './GuardedTargetClient';
export type { default as HttpCall } from './HttpCall';
export { default as parseCompletion } from './parseCompletion';
export { default as ModelCall } from './ModelCall';
export { default as PoisonRegistry } from './PoisonRegistry';
export { default as SlotAcquirer } from './SlotAcquirer';
export type { default as RoutingEvent } from './RoutingEvent';
export { default as ServiceCall } from './ServiceCall';
export { default as TargetClient } from './TargetClient';
