import { encode } from '@msgpack/msgpack';

/** Bytes of a datagram beside its rows. */
const OVERHEAD_BYTES = 16;

/**
 * Returns as many of the first rows as fit into one datagram.
 *
 * @example
 * fitRows(digest, 1_200);
 */
const fitRows = <T>(rows: readonly T[], maxBytes: number): readonly T[] => {
  let bytes = OVERHEAD_BYTES;
  const end = rows.findIndex((row) => {
    bytes += encode(row).length;
    return bytes > maxBytes;
  });
  return end < 0 ? rows : rows.slice(0, end);
};

export default fitRows;
