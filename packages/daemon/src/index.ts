/** The entry instance: composes the libraries and starts their HTTP and gRPC listeners. */
export { default as createLogger } from './createLogger';
export type { default as RunningInstance } from './RunningInstance';
export { default as startInstance } from './startInstance';
