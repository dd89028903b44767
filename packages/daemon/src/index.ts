/** The entry instance: wires the libraries together and puts listeners on them. */
export { default as createLogger } from './createLogger';
export type { default as RunningInstance } from './RunningInstance';
export { default as startInstance } from './startInstance';
