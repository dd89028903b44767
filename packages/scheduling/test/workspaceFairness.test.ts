/** Guards that workspaces are served in proportion to their weights, by the cost of their work. */
import fc from 'fast-check';
import { WorkspaceFairness } from '../src';

const RUNS = Number(process.env.FUZZ_RUNS ?? 200);
const SEED = process.env.FUZZ_SEED === undefined ? 20_261_207 : Number(process.env.FUZZ_SEED);

test('no backlogged workspace gets ahead of another by more than one item of each', () => {
  const costs = fc.array(fc.integer({ min: 1, max: 1_000 }), { minLength: 2, maxLength: 5 });
  fc.assert(
    fc.property(costs, fc.integer({ min: 1, max: 300 }), (costOf, turns) => {
      const fairness = new WorkspaceFairness();
      const served = costOf.map(() => 0);
      costOf.forEach((_, index) => fairness.join(String(index)));
      for (let turn = 0; turn < turns; turn += 1) {
        const starts = costOf.map((_, index) => fairness.virtualStart(String(index)));
        const next = starts.indexOf(Math.min(...starts));
        fairness.charge(String(next), costOf[next]);
        served[next] += costOf[next];
      }
      return served.every((one, i) =>
        served.every((other, j) => one - other <= costOf[i] + costOf[j]),
      );
    }),
    { numRuns: RUNS, seed: SEED },
  );
});

test('a workspace that was idle does not catch up on what it did not ask for', () => {
  const fairness = new WorkspaceFairness();
  for (let turn = 0; turn < 100; turn += 1) fairness.charge('busy', 10);
  fairness.join('new');
  expect(fairness.virtualStart('busy') - fairness.virtualStart('new')).toBeLessThanOrEqual(10);
});

test('a workspace that used more than its share is remembered while it has nothing waiting', () => {
  const fairness = new WorkspaceFairness();
  fairness.charge('greedy', 100);
  fairness.retain(() => false);
  fairness.join('new');
  expect(fairness.virtualStart('greedy')).toBeGreaterThan(fairness.virtualStart('new'));
});
