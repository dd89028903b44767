import collectGarbage from './collectGarbage';

/** Bytes of received Buffers after which they are collected. */
const RECLAIM_BYTES = 4 * 1_024 * 1_024;

const counter = { receivedBytes: 0 };

/**
 * Counts bytes that were received in Buffers which are dropped at once, and collects those from time to time.
 *
 * @example
 * request.on('data', (chunk: Buffer) => reclaimReceived(chunk.length));
 */
const reclaimReceived = (bytes: number): void => {
  counter.receivedBytes += bytes;
  if (counter.receivedBytes < RECLAIM_BYTES) return;
  counter.receivedBytes = 0;
  collectGarbage('minor');
};

export default reclaimReceived;
