/** Guards that slots are divided by workspace and weight, wherever the requests wait. */
import fc from 'fast-check';
import fairShares from '../src/fairShares';

const RUNS = Number(process.env.FUZZ_RUNS ?? 500);
const SEED = process.env.FUZZ_SEED === undefined ? 20_261_204 : Number(process.env.FUZZ_SEED);

const demand = (workspace: string, slots: number, weight = 1) => ({ workspace, weight, slots });

describe('fairShares', () => {
  test('a workspace that requests less than its share gets all of it beside a flood elsewhere', () => {
    const demands = new Map([
      ['entry-a1', [demand('clubs', 30)]],
      ['entry-b1', [demand('omuriro', 4)]],
    ]);
    expect([...fairShares(16, demands)]).toEqual([
      ['entry-a1', 12],
      ['entry-b1', 4],
    ]);
  });

  test('a workspace gets no more slots by sending requests through many instances', () => {
    const demands = new Map([
      ['entry-a1', [demand('clubs', 30)]],
      ['entry-b1', [demand('clubs', 30)]],
      ['entry-c1', [demand('clubs', 30), demand('omuriro', 30)]],
    ]);
    const shares = fairShares(12, demands);
    expect([...shares.values()]).toEqual([2, 2, 8]);
  });

  test('slots are divided in proportion to weights', () => {
    const demands = new Map([
      ['entry-a1', [demand('clubs', 30)]],
      ['entry-b1', [demand('omuriro', 30, 3)]],
    ]);
    expect([...fairShares(12, demands).values()]).toEqual([3, 9]);
  });

  test('the shares add up to the smaller of slots and demand', () => {
    const one = fc.record({
      workspace: fc.constantFrom('a', 'b', 'c'),
      weight: fc.constant(1),
      slots: fc.integer({ min: 1, max: 40 }),
    });
    const holders = fc.array(
      fc.uniqueArray(one, { selector: ({ workspace }) => workspace, minLength: 1 }),
      {
        minLength: 1,
        maxLength: 6,
      },
    );
    fc.assert(
      fc.property(holders, fc.integer({ min: 1, max: 32 }), (all, slots) => {
        const demands = new Map(all.map((own, index) => [`entry-${index}`, own]));
        const requested = all.flat().reduce((sum, { slots: wanted }) => sum + wanted, 0);
        const given = [...fairShares(slots, demands).values()].reduce((a, b) => a + b, 0);
        expect(given).toBeCloseTo(Math.min(slots, requested), 6);
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
