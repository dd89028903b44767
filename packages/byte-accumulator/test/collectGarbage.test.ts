/** What a collection frees outside of the heap. */
import { collectGarbage } from '../src';

const BUFFERS = 256;
const BUFFER_BYTES = 65_536;
/** Most of what the Buffers hold; others may be allocated meanwhile. */
const FREED_BYTES = (BUFFERS * BUFFER_BYTES) / 2;

const externalBytes = () => process.memoryUsage().arrayBuffers;

// Guards against a collection that leaves Buffers which have survived others: with options, V8 collects the young generation only.
test('a major collection frees Buffers that were kept for long', () => {
  let buffers = Array.from({ length: BUFFERS }, () => Buffer.allocUnsafeSlow(BUFFER_BYTES));
  for (let count = 0; count < 3; count += 1) collectGarbage('minor');
  const beforeBytes = externalBytes();
  buffers = [];
  collectGarbage('major');
  expect(buffers).toHaveLength(0);
  expect(beforeBytes - externalBytes()).toBeGreaterThan(FREED_BYTES);
});
