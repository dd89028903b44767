/** What a collection frees outside of the heap. */
import { collectGarbage } from '../src';

const BUFFERS = 256;
const BUFFER_BYTES = 65_536;
/** Most of what the Buffers hold; others may be allocated meanwhile. */
const FREED_BYTES = (BUFFERS * BUFFER_BYTES) / 2;

/** Far less than V8 would take to collect these Buffers by itself: nothing is allocated meanwhile. */
const SWEEP_LIMIT_MS = 3_000;

const externalBytes = () => process.memoryUsage().arrayBuffers;

// Guards against a collection that leaves Buffers which have survived others: with options, V8 collects the young generation only.
test('a major collection frees Buffers that were kept for long', async () => {
  let buffers = Array.from({ length: BUFFERS }, () => Buffer.allocUnsafeSlow(BUFFER_BYTES));
  for (let count = 0; count < 3; count += 1) collectGarbage('minor');
  const beforeBytes = externalBytes();
  buffers = [];
  collectGarbage('major');
  expect(buffers).toHaveLength(0);
  // V8 frees the memory of Buffers in a thread of its own, some milliseconds after the collection.
  const untilMs = performance.now() + SWEEP_LIMIT_MS;
  while (beforeBytes - externalBytes() <= FREED_BYTES && performance.now() < untilMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
  expect(beforeBytes - externalBytes()).toBeGreaterThan(FREED_BYTES);
});
