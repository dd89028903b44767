import type { Readable } from 'node:stream';

/**
 * Reads a body to its end; rejects, and closes its connection, if it is longer than `limitBytes`.
 *
 * @example
 * const body = await readBounded(response.data.body, 8_388_608);
 */
const readBounded = async (body: Readable, limitBytes: number): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    // Leaving the loop destroys the body.
    if (bytes > limitBytes) throw new Error(`the body is longer than ${limitBytes} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

export default readBounded;
