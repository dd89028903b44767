/** Events end at an empty line, with any of the three line ends and however the bytes are split. */
import fc from 'fast-check';
import EventBoundaries from '../src/EventBoundaries';

const LINE_ENDS = ['\n', '\r', '\r\n'];

const splitAt = (bytes: Buffer, cuts: readonly number[]): Buffer[] => {
  const offsets = [0, ...cuts.map((cut) => cut % (bytes.length + 1)), bytes.length];
  offsets.sort((one, other) => one - other);
  return offsets.slice(1).map((end, index) => bytes.subarray(offsets[index], end));
};

test.each(LINE_ENDS)('every split of events with line end %j gives the same end', (lineEnd) => {
  const event = `id: 1${lineEnd}data: x${lineEnd}${lineEnd}`;
  fc.assert(
    fc.property(
      fc.array(fc.nat(200), { maxLength: 6 }),
      fc.constantFrom('', 'da', `data: y${lineEnd}`),
      (cuts, rest) => {
        const boundaries = new EventBoundaries();
        const bytes = Buffer.from(event + event + rest);
        let passed = 0;
        let end = 0;
        splitAt(bytes, cuts).forEach((chunk) => {
          const offset = boundaries.push(chunk);
          if (offset > 0) end = passed + offset;
          passed += chunk.length;
        });
        expect({ end, inside: boundaries.isInsideEvent, has: boundaries.hasEvent }).toEqual({
          end: 2 * event.length,
          inside: rest !== '',
          has: true,
        });
      },
    ),
  );
});

test('a comment is no event', () => {
  const boundaries = new EventBoundaries();
  boundaries.push(Buffer.from(': still there\n\n: again\n\n'));
  expect(boundaries.hasEvent).toBe(false);
  boundaries.push(Buffer.from(': now\ndata: x\n\n'));
  expect(boundaries.hasEvent).toBe(true);
});
