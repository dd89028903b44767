/** Bytes that arrive in pieces, kept at a cost that does not depend on the number of pieces. */
export { default as ByteAccumulator } from './ByteAccumulator';
export { default as ByteLimitError } from './ByteLimitError';
export { default as collectGarbage } from './collectGarbage';
export { default as readBytes } from './readBytes';
export { default as reclaimReceived } from './reclaimReceived';
