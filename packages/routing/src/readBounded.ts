import type { Readable } from 'node:stream';
import { readBytes } from '@wisteriapath/byte-accumulator';

/**
 * Reads a body to its end; rejects, and closes its connection, if it is longer than `limitBytes`.
 *
 * @example
 * const body = await readBounded(response.data.body, 8_388_608);
 */
const readBounded = async (body: Readable, limitBytes: number): Promise<Buffer> => {
  try {
    return await readBytes(body, limitBytes);
  } catch (error) {
    body.destroy();
    throw error;
  }
};

export default readBounded;
