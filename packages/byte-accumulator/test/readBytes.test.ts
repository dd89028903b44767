/** How a stream is read to its end, or not. */
import { PassThrough, Readable } from 'node:stream';
import { ByteLimitError, readBytes } from '../src';

const LIMIT_BYTES = 10;

describe('a stream that is read to its end', () => {
  test('returns its bytes in one piece', async () => {
    const stream = Readable.from([Buffer.from('abc'), Buffer.from('def')]);
    expect((await readBytes(stream, LIMIT_BYTES)).toString()).toBe('abcdef');
  });

  test('may have as many bytes as the limit', async () => {
    const stream = Readable.from([Buffer.alloc(LIMIT_BYTES)]);
    expect(await readBytes(stream, LIMIT_BYTES)).toHaveLength(LIMIT_BYTES);
  });

  // Guards against a sender without an end that is read on.
  test('is paused once it is longer than the limit', async () => {
    const stream = new PassThrough();
    stream.write(Buffer.alloc(LIMIT_BYTES + 1));
    await expect(readBytes(stream, LIMIT_BYTES)).rejects.toBeInstanceOf(ByteLimitError);
    expect(stream.isPaused()).toBe(true);
    expect(stream.destroyed).toBe(false);
  });

  // Guards against a reader that waits forever for a sender that is gone.
  test.each([new Error('broken'), undefined])('rejects if it breaks off with %s', async (error) => {
    const stream = new PassThrough();
    stream.write('abc');
    const read = readBytes(stream, LIMIT_BYTES);
    stream.destroy(error);
    await expect(read).rejects.toThrow(error?.message ?? 'closed before its end');
  });
});
