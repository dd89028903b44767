/** The command line's client of the administration API, and the error that it throws. */
export { default as CommandError } from './CommandError';
export { default as OperatorClient } from './OperatorClient';
