/** Budgets: no window sees more spent than burst + rate × window, whatever the network does. */
import fc from 'fast-check';
import EscrowWorld from './support/EscrowWorld';

type Rules = ConstructorParameters<typeof EscrowWorld>[0];

const borrower = fc.integer({ min: 0, max: 2 });
const fate = fc.constantFrom(
  'arrives' as const,
  'request_lost' as const,
  'reply_lost' as const,
  'twice' as const,
  'late' as const,
);

const step = fc.oneof(
  { weight: 4, arbitrary: fc.record({ borrower, want: fc.constantFrom(0, 50, 250), fate }) },
  {
    weight: 4,
    arbitrary: fc.record({
      spender: borrower,
      tokens: fc.constantFrom(10, 100, 250),
      unused: fc.constantFrom(0, 0, 20),
    }),
  },
  { weight: 3, arbitrary: fc.record({ passMs: fc.constantFrom(50, 300, 800, 1_500) }) },
  { weight: 1, arbitrary: fc.constant('late' as const) },
  { weight: 1, arbitrary: fc.constant('takeover' as const) },
);

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

const play = async (steps: readonly Step[], rules?: Rules): Promise<EscrowWorld> => {
  const world = new EscrowWorld(rules);
  for (const one of steps) {
    if (one === 'late') world.deliverLate();
    else if (one === 'takeover') world.replaceHome();
    else if ('passMs' in one) world.clock.skip(one.passMs);
    else if ('want' in one) await world.sync(one);
    else world.spend(one.spender, one.tokens, one.unused);
  }
  return world;
};

const ROUNDING = 1e-6;
const holds = (rules?: Rules) =>
  fc.asyncProperty(fc.array(step, { minLength: 6, maxLength: 40 }), async (steps) => {
    const world = await play(steps, rules);
    return world.excess() <= ROUNDING;
  });

const RUNS = Number(process.env.FUZZ_RUNS ?? 3_000);
const SEED = process.env.FUZZ_SEED === undefined ? 20_261_204 : Number(process.env.FUZZ_SEED);

const isViolated = async (rules: Partial<NonNullable<Rules>>) => {
  const wrong = { ...EscrowWorld.sound, ...rules };
  const details = await fc.check(holds(wrong), { numRuns: 20_000, seed: SEED });
  return details.failed && String(details.errorInstance).includes('returning false');
};

describe('escrow', () => {
  test('what was spent to the last token is still reported', async () => {
    const world = new EscrowWorld();
    await world.sync({ borrower: 0, want: 50, fate: 'arrives' });
    world.spend(0, 50, 0);
    expect(world.mustReport(0)).toBe(true);
    await world.sync({ borrower: 0, want: 0, fate: 'arrives' });
    expect(world.mustReport(0)).toBe(false);
  });

  test('holds under loss, repeats, delays and takeovers', async () => {
    await fc.assert(holds(), { numRuns: RUNS, seed: SEED });
  });

  test('a home that takes over with full buckets breaks it', async () => {
    expect(await isViolated({ fullAfterTakeover: true })).toBe(true);
  });

  test("a home that does not wait out the earlier one's loans breaks it", async () => {
    expect(await isViolated({ loanLifeMs: 0 })).toBe(true);
  });

  test('a lender that writes off before the borrower stops breaks it', async () => {
    expect(await isViolated({ writeOffMs: 200 })).toBe(true);
  });

  test('a borrower that never stops breaks it', async () => {
    expect(await isViolated({ usableForEver: true })).toBe(true);
  });
});
