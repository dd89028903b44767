/** What a collection frees outside of the heap. */
import { collectGarbage } from '../src';

const BUFFERS = 256;
const BUFFER_BYTES = 65_536;
/** Most of what the Buffers hold; others may be allocated meanwhile. */
const FREED_BYTES = (BUFFERS * BUFFER_BYTES) / 2;

/** Time for that thread: it needed 15 ms at most beside ten busy processes. */
const SWEEP_LIMIT_MS = 1_000;

const externalBytes = () => process.memoryUsage().arrayBuffers;

// Guards against a collection that leaves Buffers which have survived others: with options, V8 collects the young generation only.
test('a major collection frees Buffers that were kept for long', () => {
  let buffers = Array.from({ length: BUFFERS }, () => Buffer.allocUnsafeSlow(BUFFER_BYTES));
  for (let count = 0; count < 3; count += 1) collectGarbage('minor');
  const beforeBytes = externalBytes();
  buffers = [];
  collectGarbage('major');
  expect(buffers).toHaveLength(0);
  // V8 frees the memory of Buffers in a thread of its own. This one stands still meanwhile, so that nothing else makes V8 collect.
  const untilMs = performance.now() + SWEEP_LIMIT_MS;
  while (beforeBytes - externalBytes() <= FREED_BYTES && performance.now() < untilMs) {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1);
  }
  expect(beforeBytes - externalBytes()).toBeGreaterThan(FREED_BYTES);
});
