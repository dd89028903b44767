/** The memory of the bodies that a process holds, and the reading of request bodies within it. */
export type { default as MemoryBudget } from './MemoryBudget';
export type { default as MemoryReservation } from './MemoryReservation';
export { default as ReceivedBody } from './ReceivedBody';
export { default as createBodyMemory } from './createBodyMemory';
export { default as readBody } from './readBody';
