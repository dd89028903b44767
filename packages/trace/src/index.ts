/** The story of one request from the logs of several instances. */
export type { default as Belief } from './Belief';
export type { default as LogLine } from './LogLine';
export type { default as Step } from './Step';
export type { default as Story } from './Story';
export { default as formatStory } from './formatStory';
export { default as parseLogLine } from './parseLogLine';
export { default as readStory } from './readStory';
