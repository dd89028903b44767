/** What is kept of bytes that arrive in pieces: all of them, in order, at a cost that their number bounds. */
import fc from 'fast-check';
import { ByteAccumulator } from '../src';

const BLOCK_BYTES = 65_536;

describe('bytes that are kept in pieces', () => {
  const sizes = fc.oneof(fc.nat(40), fc.nat(5_000), fc.nat(200_000));

  // Guards against lost or mixed-up bytes where blocks meet, and against memory for each piece.
  test('are complete and in order, and held within twice their number and one block', () => {
    fc.assert(
      fc.property(fc.array(sizes, { maxLength: 60 }), (pieces) => {
        const accumulator = new ByteAccumulator();
        let next = 0;
        const expected: Buffer[] = [];
        pieces.forEach((size) => {
          const piece = Buffer.alloc(size, (next += 1) % 256);
          expected.push(Buffer.from(piece));
          accumulator.append(piece);
          // The sender may use its memory again.
          piece.fill(0);
          const { sizeBytes, heldBytes } = accumulator;
          expect(heldBytes).toBeGreaterThanOrEqual(sizeBytes);
          expect(heldBytes).toBeLessThanOrEqual(2 * sizeBytes + BLOCK_BYTES);
        });
        const whole = Buffer.concat(expected);
        expect(accumulator.sizeBytes).toBe(whole.length);
        expect(accumulator.take().equals(whole)).toBe(true);
        expect(accumulator).toMatchObject({ sizeBytes: 0, heldBytes: 0 });
      }),
      { numRuns: 60 },
    );
  });

  // Guards against a first block that is much larger than a short content.
  test('hold little while they are few', () => {
    const accumulator = new ByteAccumulator();
    expect(accumulator.heldBytes).toBe(0);
    accumulator.append(Buffer.from('x'));
    expect(accumulator.heldBytes).toBeLessThanOrEqual(1_024);
  });

  // Guards against content that comes back after it was dropped or taken.
  test('are gone once they were dropped or taken, and others can follow', () => {
    const accumulator = new ByteAccumulator();
    accumulator.append(Buffer.from('first'));
    accumulator.clear();
    expect(accumulator).toMatchObject({ sizeBytes: 0, heldBytes: 0 });
    accumulator.append(Buffer.from('second'));
    const taken = accumulator.take();
    accumulator.append(Buffer.from('third'));
    expect(taken.toString()).toBe('second');
    expect(accumulator.take().toString()).toBe('third');
    expect(accumulator.take().toString()).toBe('');
  });

  // Guards against a copy of all that is held for each piece, whose number would grow with the square.
  test('are copied into blocks once', () => {
    const accumulator = new ByteAccumulator();
    let allocatedBytes = 0;
    const allocate = jest.spyOn(Buffer, 'allocUnsafeSlow').mockImplementation((size) => {
      allocatedBytes += size;
      return Buffer.alloc(size);
    });
    const piece = Buffer.from('x');
    for (let count = 0; count < 500_000; count += 1) accumulator.append(piece);
    allocate.mockRestore();
    // Blocks that earlier contents left are used again, so fewer than are held may be allocated.
    expect(allocatedBytes).toBeLessThanOrEqual(accumulator.heldBytes);
    expect(accumulator.heldBytes).toBeLessThanOrEqual(500_000 + BLOCK_BYTES);
    expect(accumulator.sizeBytes).toBe(500_000);
  });

  // Guards against a block that is used again while the content that was taken or is kept still lies in it.
  test('do not change by what is kept after them', () => {
    fc.assert(
      fc.property(fc.array(sizes, { minLength: 1, maxLength: 10 }), (lengths) => {
        const kept = lengths.map((length, index) => {
          const accumulator = new ByteAccumulator();
          accumulator.append(Buffer.alloc(length, index + 1));
          return accumulator;
        });
        const taken = kept.filter((_, index) => index % 2 === 0).map((one) => one.take());
        const next = new ByteAccumulator();
        next.append(Buffer.alloc(300_000, 255));
        taken.forEach((content, index) => {
          expect(content.equals(Buffer.alloc(content.length, 2 * index + 1))).toBe(true);
        });
        kept.forEach((one, index) => {
          const whole = Buffer.concat(one.pieces);
          expect(whole.length).toBe(one.sizeBytes);
          expect(whole.equals(Buffer.alloc(whole.length, index + 1))).toBe(true);
        });
      }),
      { numRuns: 60 },
    );
  });
});
