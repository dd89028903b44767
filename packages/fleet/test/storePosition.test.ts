/** Positions in the platform's store are compared by era first. */
import fc from 'fast-check';
import { comparePositions, type StorePosition } from '../src';

const position = fc.record({ era: fc.nat(), offset: fc.nat() });
const signOf = (one: StorePosition, other: StorePosition) =>
  Math.sign(comparePositions(one, other));

describe('positions in the store', () => {
  test.each([
    [{ era: 1, offset: 900 }, { era: 2, offset: 0 }, -1],
    [{ era: 2, offset: 0 }, { era: 1, offset: 900 }, 1],
    [{ era: 2, offset: 4 }, { era: 2, offset: 5 }, -1],
    [{ era: 2, offset: 5 }, { era: 2, offset: 5 }, 0],
  ])(
    'an offset of an older era does not come after one of a newer era: %j, %j',
    (one, other, sign) => {
      expect(signOf(one, other)).toBe(sign);
    },
  );

  test('the order is total, so that sorting does not depend on the order of arrival', () => {
    fc.assert(
      fc.property(position, position, position, (one, two, three) => {
        expect(signOf(one, two)).toBe(0 - signOf(two, one));
        if (signOf(one, two) <= 0 && signOf(two, three) <= 0) {
          expect(signOf(one, three)).toBeLessThanOrEqual(0);
        }
      }),
    );
  });
});
