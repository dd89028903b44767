/**
 * Guards the bound of budgets: no window sees more than burst + rate × window spent, even if
 * messages are lost, repeated, delayed or reordered, or the home fails over. The tests with wrong
 * rules show that the check detects a violation.
 */
import fc from 'fast-check';
import EscrowSimulation from './support/EscrowSimulation';

type Rules = ConstructorParameters<typeof EscrowSimulation>[0];

const borrower = fc.integer({ min: 0, max: 2 });
const delivery = fc.constantFrom(
  'arrives' as const,
  'request_lost' as const,
  'reply_lost' as const,
  'twice' as const,
  'late' as const,
);

const step = fc.oneof(
  { weight: 4, arbitrary: fc.record({ borrower, want: fc.constantFrom(0, 50, 250), delivery }) },
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

const simulate = async (steps: readonly Step[], rules?: Rules): Promise<EscrowSimulation> => {
  const simulation = new EscrowSimulation(rules);
  for (const one of steps) {
    if (one === 'late') simulation.deliverDelayed();
    else if (one === 'takeover') simulation.replaceHome();
    else if ('passMs' in one) simulation.clock.skip(one.passMs);
    else if ('want' in one) await simulation.sync(one);
    else simulation.spend(one.spender, one.tokens, one.unused);
  }
  return simulation;
};

const ROUNDING_ERROR_TOKENS = 1e-6;
const boundHolds = (rules?: Rules) =>
  fc.asyncProperty(fc.array(step, { minLength: 6, maxLength: 40 }), async (steps) => {
    const simulation = await simulate(steps, rules);
    return simulation.excessTokens() <= ROUNDING_ERROR_TOKENS;
  });

const RUNS = Number(process.env.FUZZ_RUNS ?? 3_000);
const SEED = process.env.FUZZ_SEED === undefined ? 20_261_204 : Number(process.env.FUZZ_SEED);

const isViolated = async (rules: Partial<NonNullable<Rules>>) => {
  const wrong = { ...EscrowSimulation.correctRules, ...rules };
  const details = await fc.check(boundHolds(wrong), { numRuns: 20_000, seed: SEED });
  return details.failed && String(details.errorInstance).includes('returning false');
};

describe('escrow budgets', () => {
  test('a fully spent loan is still reported to the home', async () => {
    const simulation = new EscrowSimulation();
    await simulation.sync({ borrower: 0, want: 50, delivery: 'arrives' });
    simulation.spend(0, 50, 0);
    expect(simulation.mustReport(0)).toBe(true);
    await simulation.sync({ borrower: 0, want: 0, delivery: 'arrives' });
    expect(simulation.mustReport(0)).toBe(false);
  });

  test('the bound holds under loss, repetition, delay and failover', async () => {
    await fc.assert(boundHolds(), { numRuns: RUNS, seed: SEED });
  });

  test('the bound is violated if a new home starts with full buckets', async () => {
    expect(await isViolated({ fullAfterTakeover: true })).toBe(true);
  });

  test('the bound is violated if a new home does not wait until earlier loans expire', async () => {
    expect(await isViolated({ loanLifetimeMs: 0 })).toBe(true);
  });

  test('the bound is violated if the lender writes off loans that the borrower may still spend', async () => {
    expect(await isViolated({ writeOffMs: 200 })).toBe(true);
  });

  test('the bound is violated if a borrower spends loans without a time limit', async () => {
    expect(await isViolated({ loansNeverExpire: true })).toBe(true);
  });
});
