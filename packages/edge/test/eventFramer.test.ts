/** Streams are split into complete events, no matter how their bytes are split into chunks. */
import fc from 'fast-check';
import EventFramer from '../src/EventFramer';

const chunkTexts = fc.array(
  fc.oneof(fc.constantFrom('\n', '\n\n', 'id: 7\n', 'id: 12\ndata: x\n\n'), fc.string()),
);

test('complete events pass once and in order, whatever the chunks are', () => {
  fc.assert(
    fc.property(chunkTexts, (parts) => {
      const bytes = Buffer.from(parts.join(''));
      const framer = new EventFramer();
      const passed = Buffer.concat(parts.map((part) => framer.push(Buffer.from(part))));
      const waiting = bytes.subarray(passed.length);
      expect(Buffer.concat([passed, waiting])).toEqual(bytes);
      expect(passed.length === 0 || passed.toString().endsWith('\n\n')).toBe(true);
      expect(waiting.includes('\n\n')).toBe(false);
      expect(framer.hasPartialEvent).toBe(passed.length < bytes.length);
    }),
  );
});

test('a long event that arrives in small pieces is not copied again for each piece', () => {
  const PIECES = 16_384;
  const piece = Buffer.alloc(1_024, 'x');
  const framer = new EventFramer();
  const startedMs = performance.now();
  for (let count = 0; count < PIECES; count += 1) framer.push(piece);
  // 16 MiB in total; copying all earlier bytes for each piece would copy 130 GB.
  expect(performance.now() - startedMs).toBeLessThan(1_000);
  expect(framer.push(Buffer.from('\n\n')).length).toBe(PIECES * piece.length + 2);
});
