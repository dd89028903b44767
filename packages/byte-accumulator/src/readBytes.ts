import type { Readable } from 'node:stream';
import ByteAccumulator from './ByteAccumulator';
import ByteLimitError from './ByteLimitError';

/**
 * Reads a stream to its end. Rejects with `ByteLimitError` if it is longer than `limitBytes`, and with the stream's own error; the
 * stream is then paused, and what becomes of it is left to the caller.
 *
 * The stream flows: one that is read piece by piece would first keep a Buffer for each piece, up to its high-water mark.
 *
 * @example
 * const body = await readBytes(response.body, 8_388_608);
 */
const readBytes = (stream: Readable, limitBytes: number): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const content = new ByteAccumulator();
    const onData = (chunk: Buffer) => {
      if (content.sizeBytes + chunk.length <= limitBytes) {
        content.append(chunk);
        return;
      }
      content.clear();
      stream.off('data', onData).pause();
      reject(new ByteLimitError(limitBytes));
    };
    stream.on('end', () => resolve(content.take()));
    stream.on('error', reject);
    // Without an effect after the end or an error.
    stream.on('close', () => reject(new Error('the stream was closed before its end')));
    stream.on('data', onData);
  });

export default readBytes;
