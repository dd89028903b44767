/** Traces of single requests, from the logs of several instances. */
export type { default as ViewEntry } from './ViewEntry';
export type { default as LogLine } from './LogLine';
export type { default as TraceEntry } from './TraceEntry';
export type { default as RequestTrace } from './RequestTrace';
export { default as formatTrace } from './formatTrace';
export { default as parseLogLine } from './parseLogLine';
export { default as readTrace } from './readTrace';
